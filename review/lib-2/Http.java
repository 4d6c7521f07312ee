package rig2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 on plain sockets, for clients and servers. */
public final class Http {
    /** A start line and headers. */
    public static final class Head {
        public String line = "";
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        public String get(String name) {
            return headers.get(name);
        }

        public int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** What a client got for one request. */
    public static final class Result {
        /** 0 if there was no answer. */
        public int status;
        public Head head;
        public boolean isWhole;
        public String error = "";
        public byte[] body = new byte[0];
        /** Events of a stream: id and data. */
        public final List<String[]> events = new ArrayList<>();
        public long millis;

        public String lastEventId() {
            return events.isEmpty() ? null : events.get(events.size() - 1)[0];
        }

        @Override
        public String toString() {
            return (status == 0 ? "none" : Integer.toString(status)) + (isWhole ? "" : " cut") + (error.isEmpty() ? "" : " (" + error + ")");
        }
    }

    private Http() {
    }

    public static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        head.line = readLine(in);
        if (head.line == null) return null;
        while (true) {
            String line = readLine(in);
            if (line == null) return null;
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    public static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) return null;
            if (c == '\n') break;
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a body with a length or in chunks; null if it is cut. */
    public static byte[] readBody(InputStream in, Head head) throws IOException {
        String length = head.get("Content-Length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            return body.length == Integer.parseInt(length) ? body : null;
        }
        if (!"chunked".equalsIgnoreCase(head.get("Transfer-Encoding"))) return new byte[0];
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) return null;
            int size = Integer.parseInt(line.trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size || readLine(in) == null) return null;
            if (size == 0) return body.toByteArray();
            body.write(chunk);
        }
    }

    /** Sends one request on a new connection and reads the answer; the socket is closed afterwards. */
    public static Result call(int port, String method, String path, Map<String, String> headers, byte[] body, int deadlineMs) {
        Result result = new Result();
        long startMs = Rig.nowMs();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(deadlineMs);
            OutputStream out = socket.getOutputStream();
            out.write(requestBytes(method, path, headers, body));
            out.flush();
            readAnswer(new BufferedInputStream(socket.getInputStream()), result, socket, startMs + deadlineMs);
        } catch (SocketTimeoutException e) {
            result.error = "deadline";
        } catch (IOException | RuntimeException e) {
            result.error = e.toString();
        }
        result.millis = Rig.nowMs() - startMs;
        return result;
    }

    public static byte[] requestBytes(String method, String path, Map<String, String> headers, byte[] body) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) text.append("Content-Length: ").append(body.length).append("\r\n");
        text.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(text.toString().getBytes(StandardCharsets.UTF_8));
        all.writeBytes(body);
        return all.toByteArray();
    }

    /** Reads an answer; events of a stream are recorded as they arrive, so that those before a cut count. */
    public static void readAnswer(InputStream in, Result result, Socket socket, long endsAtMs) throws IOException {
        Head head = readHead(in);
        if (head == null) {
            result.error = "closed without an answer";
            return;
        }
        result.head = head;
        result.status = head.status();
        String type = head.get("Content-Type");
        boolean isStream = type != null && type.startsWith("text/event-stream") && "chunked".equalsIgnoreCase(head.get("Transfer-Encoding"));
        if (!isStream) {
            byte[] body = readBody(in, head);
            result.isWhole = body != null;
            result.body = body == null ? new byte[0] : body;
            return;
        }
        StringBuilder pending = new StringBuilder();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            long leftMs = endsAtMs - Rig.nowMs();
            if (leftMs <= 0) throw new SocketTimeoutException();
            socket.setSoTimeout((int) leftMs);
            String line = readLine(in);
            if (line == null) return;
            int size = Integer.parseInt(line.trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size || readLine(in) == null) return;
            if (size == 0) {
                result.isWhole = true;
                result.body = all.toByteArray();
                return;
            }
            all.write(chunk);
            pending.append(new String(chunk, StandardCharsets.UTF_8));
            int end;
            while ((end = pending.indexOf("\n\n")) >= 0) {
                String[] event = new String[] {null, null};
                for (String field : pending.substring(0, end).split("\n")) {
                    if (field.startsWith("id:")) event[0] = field.substring(3).trim();
                    if (field.startsWith("data:")) event[1] = field.substring(5).trim();
                }
                result.events.add(event);
                pending.delete(0, end + 2);
            }
        }
    }
}
