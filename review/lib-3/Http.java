package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message as read from a socket. */
final class Http {
    String startLine;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** Whether the message ended as its framing says. */
    boolean isComplete;

    /** When the first byte of the body arrived, and the last one. */
    long firstBodyNanos;

    String header(String name) {
        return headers.get(name);
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a request or a response; null if the connection ended before its first byte. */
    static Http read(BufferedInputStream in, boolean isResponse, boolean hasNoBody) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Http message = new Http();
        message.startLine = line;
        while (true) {
            String header = readLine(in);
            if (header == null) return message;
            if (header.isEmpty()) break;
            int colon = header.indexOf(':');
            message.headers.put(header.substring(0, colon).trim(), header.substring(colon + 1).trim());
        }
        if (isResponse && message.status() / 100 == 1) return read(in, true, hasNoBody);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (hasNoBody) {
                message.isComplete = true;
            } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                message.isComplete = readChunks(in, body, message);
            } else if (message.header("Content-Length") != null) {
                long length = Long.parseLong(message.header("Content-Length"));
                while (body.size() < length) {
                    byte[] part = in.readNBytes((int) Math.min(65_536, length - body.size()));
                    if (part.length == 0) break;
                    body.write(part);
                }
                message.isComplete = body.size() == length;
            } else if (isResponse) {
                body.write(in.readAllBytes());
                message.isComplete = true;
            } else {
                message.isComplete = true;
            }
        } catch (IOException e) {
            message.isComplete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body, Http message) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null || size.isEmpty()) return false;
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (length == 0) {
                String trailer = readLine(in);
                while (trailer != null && !trailer.isEmpty()) trailer = readLine(in);
                return trailer != null;
            }
            byte[] part = in.readNBytes(length);
            if (message.firstBodyNanos == 0) message.firstBodyNanos = System.nanoTime();
            body.write(part);
            if (part.length < length) return false;
            if (readLine(in) == null) return false;
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) return null;
            if (b == '\n') return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(b);
        }
    }

    static String lower(String text) {
        return text.toLowerCase(Locale.ROOT);
    }
}
