import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reading of HTTP/1.1 messages, and a client with one connection. */
final class Http {
    static final class Message {
        String startLine;
        final List<String[]> headers = new ArrayList<>();
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        /** Whether the message ended as its framing says. */
        boolean complete;

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return body.toString(StandardCharsets.UTF_8);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) return out.size() == 0 ? null : out.toString();
            if (c == '\n') return out.toString().stripTrailing();
            out.write(c);
        }
    }

    /** Reads a message; null if the connection ends before it. A body that breaks off leaves it incomplete. */
    static Message read(InputStream in, boolean isRequest) throws IOException {
        Message m = new Message();
        m.startLine = line(in);
        if (m.startLine == null) return null;
        for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            m.headers.add(new String[] {h.substring(0, colon), h.substring(colon + 1).trim()});
        }
        try {
            readBody(in, m, isRequest);
        } catch (IOException e) {
            if (isRequest) throw e;
            m.complete = false;
        }
        return m;
    }

    private static void readBody(InputStream in, Message m, boolean isRequest) throws IOException {
        if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
            while (true) {
                String size = line(in);
                if (size == null || size.isEmpty()) return;
                int n = Integer.parseInt(size.trim(), 16);
                byte[] bytes = in.readNBytes(n);
                m.body.write(bytes);
                if (bytes.length < n) return;
                line(in);
                if (n == 0) break;
            }
            m.complete = true;
        } else if (m.header("Content-Length") != null) {
            int n = Integer.parseInt(m.header("Content-Length"));
            byte[] bytes = in.readNBytes(n);
            m.body.write(bytes);
            m.complete = bytes.length == n;
        } else {
            if (!isRequest) m.body.write(in.readAllBytes());
            m.complete = true;
        }
    }

    /** A client's connection to an entry host. */
    static final class Client implements AutoCloseable {
        private final Socket socket;
        private final BufferedInputStream in;

        Client(String address) throws IOException {
            socket = new Socket();
            socket.connect(Rig.socketAddress(address), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, String host, String attemptId, String body, String... headers) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attemptId + "\r\n");
            for (int i = 0; i < headers.length; i += 2) head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            if (bytes.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(bytes.length).append("\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8));
            all.write(bytes);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
        }

        /** Reads the answer; null if the connection ends, or nothing more comes for [timeoutMs], before its head is whole. */
        Message answer(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            try {
                return read(in, false);
            } catch (IOException e) {
                return null;
            }
        }

        /** Reads bytes until [text] has come, for at most [timeoutMs]. */
        boolean awaitText(String text, int timeoutMs) throws IOException {
            StringBuilder seen = new StringBuilder();
            long until = System.nanoTime() + timeoutMs * 1_000_000L;
            socket.setSoTimeout(timeoutMs);
            try {
                while (System.nanoTime() < until) {
                    int c = in.read();
                    if (c < 0) return false;
                    seen.append((char) c);
                    if (seen.indexOf(text) >= 0) return true;
                }
            } catch (IOException e) {
                return false;
            }
            return false;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
