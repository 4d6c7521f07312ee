package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of a backend server: one request at a time on a connection. What it answers is up to the case. */
final class Backend implements AutoCloseable {
    interface Answer {
        /** Answers one request; returns whether the connection stays open. */
        boolean answer(Backend server, Socket socket, Http request) throws Exception;
    }

    final String id;
    final String service;
    private final String address;
    private final int port;
    private final InetAddress host;
    private volatile ServerSocket listener;
    private final Answer answer;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile long born = System.currentTimeMillis();
    private volatile boolean isDown;

    Backend(String ip, String id, String service, Answer answer) throws IOException {
        this.id = id;
        this.service = service;
        this.answer = answer;
        listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
        address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        port = listener.getLocalPort();
        host = listener.getInetAddress();
        accept(listener);
    }

    private void accept(ServerSocket current) {
        start(() -> {
            while (!current.isClosed()) {
                try {
                    Socket socket = current.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    start(() -> serve(socket));
                } catch (IOException e) {
                    // Closed.
                }
            }
        });
    }

    boolean isDown() {
        return isDown;
    }

    /** Ends as a crashed process does, with all its connections, and starts again after a while as a new incarnation. */
    synchronized void crash(long downMillis, Runnable onBack) throws IOException {
        if (isDown) return;
        isDown = true;
        ServerSocket ended = listener;
        ended.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        sockets.clear();
        start(() -> {
            try {
                Thread.sleep(downMillis);
                ServerSocket next = new ServerSocket();
                next.setReuseAddress(true);
                next.bind(new InetSocketAddress(host, port), 200);
                listener = next;
                born = System.currentTimeMillis();
                isDown = false;
                accept(next);
                onBack.run();
            } catch (IOException | InterruptedException e) {
                System.err.println(id + " can't start again: " + e);
            }
        });
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "backend");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return address;
    }

    /** The entry that the server keeps in the platform's store. */
    String entry(int seq) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":16,"
            + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" + seq + ",\"born\":" + born + "}";
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http request = Http.read(in, false, false);
                if (request == null || !request.isComplete) return;
                String expected = request.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    write(socket, head(421, request, "Not-Executed: 1\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n"));
                    continue;
                }
                if (!answer.answer(this, socket, request)) return;
            }
        } catch (Exception e) {
            // The caller has closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    String head(int status, Http request, String more) {
        String attempt = request.header("Attempt-Id");
        return "HTTP/1.1 " + status + " Status\r\n" + (attempt == null ? "" : "Attempt-Id: " + attempt + "\r\n") + "Response-Stamp: " + id
            + "." + attempt + "\r\n" + more + "\r\n";
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    boolean plain(Socket socket, Http request, String body) throws IOException {
        write(socket, head(200, request, "Content-Length: " + body.length() + "\r\n") + body);
        return true;
    }

    static void chunk(Socket socket, String text) throws IOException {
        write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
