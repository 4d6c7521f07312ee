package rig2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP path between two processes that can be cut: then bytes are held both ways and new connections get no answer. */
public final class Proxy {
    private final ServerSocket listener;
    private final String host;
    private final int port;
    private volatile boolean isCut;
    private final java.util.concurrent.atomic.AtomicLong passedBytes = new java.util.concurrent.atomic.AtomicLong();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    public Proxy(String host, int port) throws IOException {
        this.host = host;
        this.port = port;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Rig.daemon(this::accept);
    }

    public int port() {
        return listener.getLocalPort();
    }

    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Bytes that were passed on, both ways. */
    public long passedBytes() {
        return passedBytes.get();
    }

    public void setCut(boolean isCut) {
        this.isCut = isCut;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                sockets.add(near);
                Rig.daemon(() -> connect(near));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket near) {
        while (isCut) Rig.sleep(5);
        try {
            Socket far = new Socket(host, port);
            far.setTcpNoDelay(true);
            sockets.add(far);
            Rig.daemon(() -> pump(near, far));
            pump(far, near);
        } catch (IOException e) {
            close(near);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                while (isCut) Rig.sleep(5);
                if (count < 0) break;
                out.write(buffer, 0, count);
                passedBytes.addAndGet(count);
            }
        } catch (IOException e) {
            // Both ends are closed below.
        }
        close(from);
        close(to);
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed.
        }
        sockets.forEach(this::close);
    }
}
