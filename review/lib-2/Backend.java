package rig2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A run of a backend server: registers in the store, renews its entry, and runs requests by a handler of the case. */
public final class Backend {
    /** Runs one request. Returns false to close the connection after the answer. */
    public interface Handler {
        boolean run(Backend server, Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException;
    }

    public final String id;
    public final String service;
    public final String zone;
    public final String version;
    public final int port;
    public final long bornMs = System.currentTimeMillis();
    public final int slots;
    private final Store store;
    private final Handler handler;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean isStopped;
    private volatile String state = "ready";
    private final AtomicLong seq = new AtomicLong();

    /** With port 0, a free one is used. The entry is written before the first request can arrive. */
    public Backend(Store store, String id, String service, String zone, String version, int slots, int port, Handler handler)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.slots = slots;
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
        this.port = listener.getLocalPort();
        register();
        Rig.daemon(this::accept);
        Rig.daemon(() -> {
            while (true) {
                Rig.sleep(1200);
                synchronized (this) {
                    if (isStopped) return;
                    register();
                }
            }
        });
    }

    private synchronized void register() {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
            + "\",\"version\":\"" + version + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldLeftMs\":0,\"seq\":"
            + seq.incrementAndGet() + ",\"born\":" + bornMs + "}");
    }

    public void drain() {
        state = "draining";
        register();
    }

    private void accept() {
        while (!isStopped) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Rig.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (!isStopped) {
                Http.Head head = Http.readHead(in);
                if (head == null) break;
                byte[] body = Http.readBody(in, head);
                if (body == null) break;
                String expected = head.get("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    answer(out, 421, "Misdirected Request", head.get("Attempt-Id"), "Instance-Id: " + id + "\r\n", new byte[0]);
                    continue;
                }
                if (!handler.run(this, head, body, out)) break;
            }
        } catch (IOException | InterruptedException e) {
            // The connection has ended.
        }
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** The server's signature for an attempt. */
    public static String stamp(String attemptId) {
        return "stamp-" + attemptId;
    }

    public static void answer(OutputStream out, int status, String reason, String attemptId, String moreHeaders, byte[] body)
            throws IOException {
        String text = "HTTP/1.1 " + status + " " + reason + "\r\n" + (attemptId == null ? "" : "Attempt-Id: " + attemptId + "\r\n")
            + moreHeaders + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    public static void startStream(OutputStream out, String attemptId) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptId + "\r\nResponse-Stamp: " + stamp(attemptId)
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    public static void event(OutputStream out, int id, String data) throws IOException {
        byte[] bytes = ("id: " + id + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    public static void endStream(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Ends the run at once, as the death of the process does: connections are reset. The entry stays. */
    public void crash() {
        synchronized (this) {
            isStopped = true;
        }
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed.
        }
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }
}
