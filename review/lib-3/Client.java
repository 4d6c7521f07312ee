package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client's connection to a gateway. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(Program gateway) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(gateway.ip, gateway.callerPort()), 1000);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Map<String, String> headers(String... pairs) {
        Map<String, String> result = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) result.put(pairs[i], pairs[i + 1]);
        return result;
    }

    void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Reads the answer; null if the connection ended without one. */
    Http read() throws IOException {
        return Http.read(in, true, false);
    }

    Http call(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
        send(method, path, headers, body);
        return read();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
