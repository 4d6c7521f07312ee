import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections to one address. While it refuses, open connections are reset and new ones are closed at once. */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean refuses;

    Proxy(String target) throws IOException {
        this.target = Rig.socketAddress(target);
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Rig.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void refuse(boolean on) {
        refuses = on;
        if (on) open.forEach(Proxy::reset);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket caller = listener.accept();
                if (refuses) {
                    reset(caller);
                    continue;
                }
                Socket server = new Socket();
                server.connect(target, 1_000);
                caller.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                open.add(caller);
                open.add(server);
                Rig.daemon(() -> pump(caller, server));
                Rig.daemon(() -> pump(server, caller));
            } catch (IOException e) {
                Rig.pause(5);
            }
        }
    }

    private void pump(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) out.write(buffer, 0, n);
            open.remove(from);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        open.forEach(Proxy::reset);
    }
}
