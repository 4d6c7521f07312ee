import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in of a backend server. It registers in the store, renews its entry every 1.2 s, answers 421 to requests for another
 * server, and runs the rest with its [work].
 */
final class Backend implements AutoCloseable {
    interface Work {
        void run(Run run) throws IOException;
    }

    /** One request that began to run. */
    static final class Run {
        final Backend server;
        final Http.Message request;
        private final Socket socket;
        private final OutputStream out;
        volatile boolean cutByCaller;

        Run(Backend server, Http.Message request, Socket socket) throws IOException {
            this.server = server;
            this.request = request;
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        String id() {
            return request.header("Attempt-Id");
        }

        void startStream() throws IOException {
            out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + id() + "\r\nResponse-Stamp: " + server.id + "." + id()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            out.flush();
        }

        /** Sends one event, and fails if the caller has closed the connection. */
        void event(int number, String data) throws IOException {
            byte[] bytes = ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
            checkCaller();
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes());
            out.write(bytes);
            out.write("\r\n".getBytes());
            out.flush();
        }

        void endStream() throws IOException {
            checkCaller();
            out.write("0\r\n\r\n".getBytes());
            out.flush();
        }

        void answer(int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            out.write(("HTTP/1.1 " + status + " X\r\nAttempt-Id: " + id() + "\r\nResponse-Stamp: " + server.id + "." + id()
                + "\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes());
            out.write(bytes);
            out.flush();
        }

        /** Breaks the connection off, as a crash does. */
        void breakOff() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
            throw new IOException("broken off");
        }

        private void checkCaller() throws IOException {
            socket.setSoTimeout(1);
            try {
                if (socket.getInputStream().read() < 0) {
                    cutByCaller = true;
                    throw new IOException("closed by the caller");
                }
            } catch (SocketTimeoutException e) {
                // The caller is still there.
            } catch (IOException e) {
                cutByCaller = true;
                throw e;
            } finally {
                if (!socket.isClosed()) socket.setSoTimeout(0);
            }
        }
    }

    final String id;
    final String service;
    final String zone;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Store store;
    private final int slots;
    private final Work work;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;
    private volatile boolean registered;
    private volatile long born = System.currentTimeMillis();
    private volatile boolean closed;
    private final Thread heartbeat;

    Backend(Store store, String id, String service, String zone, int slots, Work work) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        listen(0);
        registered = true;
        heartbeat = Rig.daemon(() -> {
            for (int seq = 1; !closed; seq++) {
                synchronized (this) {
                    if (registered) store.write("servers/" + id, entry("ready", seq));
                }
                Rig.pause(1_200);
            }
        });
    }

    private String entry(String state, int seq) {
        return Json.write(Json.of("service", service, "address", address(), "zone", zone, "version", "v1", "slots", slots,
            "state", state, "coldLeftMs", 0, "seq", seq, "born", born));
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Crashes: all connections are reset, and nothing listens for [downMs]. The server says nothing meanwhile; its entry stays. */
    synchronized void crash(long downMs) {
        if (!registered) return;
        registered = false;
        int port = listener.getLocalPort();
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Socket s : open) {
            try {
                s.setSoLinger(true, 0);
                s.close();
            } catch (IOException e) {
                // The connection is closed already.
            }
        }
        open.clear();
        Rig.daemon(() -> {
            Rig.pause(downMs);
            try {
                listen(port);
                born = System.currentTimeMillis();
                registered = true;
            } catch (IOException e) {
                Rig.log("server " + id + " could not come back: " + e);
            }
        });
    }

    /** Removes the entry, as for a server that has left; it goes on serving. */
    void leave() {
        synchronized (this) {
            registered = false;
            store.remove("servers/" + id);
        }
    }

    private void listen(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), 128);
        listener = socket;
        Rig.daemon(() -> {
            while (!socket.isClosed()) {
                try {
                    Socket caller = socket.accept();
                    caller.setTcpNoDelay(true);
                    open.add(caller);
                    Rig.daemon(() -> serve(caller));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.read(in, true);
                if (request == null) return;
                String expected = request.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    socket.getOutputStream().write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                        + "\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").getBytes());
                    continue;
                }
                Run run = new Run(this, request, socket);
                runs.add(run);
                Rig.log("server " + id + " runs " + run.id() + " " + request.startLine);
                work.run(run);
            }
        } catch (IOException e) {
            // The connection has ended.
        } finally {
            open.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket s : open) s.close();
    }
}
