package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in of a backend server: one request at a time on a connection. What it answers is up to the case. */
final class Backend implements AutoCloseable {
    interface Answer {
        /** Answers one request; returns whether the connection stays open. */
        boolean answer(Backend server, Socket socket, Http request) throws Exception;
    }

    final String id;
    final String service;
    private final ServerSocket listener;
    private final Answer answer;
    private final long born = System.currentTimeMillis();

    Backend(String ip, String id, String service, Answer answer) throws IOException {
        this.id = id;
        this.service = service;
        this.answer = answer;
        listener = new ServerSocket(0, 200, InetAddress.getByName(ip));
        start(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                } catch (IOException e) {
                    // Closed.
                }
            }
        });
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "backend");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
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
