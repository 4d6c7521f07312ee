package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store's stand-in, servers, turn hosts and gateways, and the record of the case. */
final class Site implements AutoCloseable {
    final Path folder;
    final Store store;
    final List<Program> turnHosts = new ArrayList<>();
    final List<Program> gateways = new ArrayList<>();
    final List<Backend> servers = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final int basePort;
    private volatile boolean closed;
    private ServerSocket reservation;
    private int startedTurnHosts;
    private int seq;

    Site(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        basePort = reservePorts();
        store = new Store("127.0.0.1");
        note("trouble: " + hasTrouble);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** Finds 200 free ports, below those of outgoing connections, and keeps other runs from taking them by holding the last one. */
    private int reservePorts() throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int base = 12_000 + ThreadLocalRandom.current().nextInt(95) * 200;
            try {
                reservation = new ServerSocket(base + 199, 1, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                continue;
            }
            if (areFree(base)) return base;
            reservation.close();
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int base) {
        for (int port = base; port < base + 199; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.getLocalPort();
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    void note(String text) {
        synchronized (record) {
            record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
        }
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    Program turnHost(String name) {
        Program program = new Program("turns", name, "127.0.0.1", basePort + 20 * startedTurnHosts++, folder, store.address(), 1);
        turnHosts.add(program);
        return program;
    }

    Program gateway(String name) {
        return gateway(name, store.address());
    }

    Program gateway(String name, String storeAddress) {
        Program program = new Program("gateway", name, "127.0.0.1", basePort + 120 + 20 * gateways.size(), folder, storeAddress, 1);
        gateways.add(program);
        return program;
    }

    Backend server(String id, String service, Backend.Answer answer) throws IOException {
        Backend server = new Backend("127.0.0.1", id, service, answer);
        servers.add(server);
        store.write("servers/" + id, server.entry(++seq));
        return server;
    }

    void config(long version, String routes, String limits) {
        store.write("op/config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + "{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false},"
            + "{\"name\":\"model\",\"healthPath\":\"/healthz\",\"maxConns\":160,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":16,\"kvTokens\":210674,\"kvBytes\":192512,\"linkMbps\":560000.0,\"moves\":true,\"backups\":true,"
            + "\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":" + limits + "}");
        note("configuration " + version + " acknowledged");
    }

    static final String LIMITS = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";

    static String route(String prefix, String kind, String service, int timeoutMs, int attempts, boolean stateful, boolean resumable) {
        return "{\"name\":\"r" + prefix.replace("/", "") + "\",\"host\":\"desk.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":250,\"priority\":0,\"service\":\"" + service + "\",\"attempts\":"
            + attempts + ",\"stateful\":" + stateful + ",\"retainS\":60.0,\"sticky\":true,\"resumable\":" + resumable
            + ",\"gapAimMs\":200}";
    }

    /** Starts all programs as at the first start of the whole system, and keeps the servers' entries fresh. */
    void start() throws Exception {
        for (Program program : turnHosts) program.start(true);
        for (Program program : gateways) program.start(true);
        Thread beats = new Thread(() -> {
            try {
                while (!closed) {
                    Thread.sleep(1200);
                    for (Backend server : List.copyOf(servers)) {
                        if (!server.isDown() && store.read("servers/" + server.id) != null) store.write("servers/" + server.id, server.entry(++seq));
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        beats.setDaemon(true);
        beats.start();
        awaitReady(45);
        // All turn hosts of the first start belong to the list before the traffic begins.
        awaitTurnHosts(turnHosts.size(), 20);
        Thread.sleep(1500);
        note("ready");
    }

    void awaitReady(int limitSeconds) throws Exception {
        long until = System.nanoTime() + limitSeconds * 1_000_000_000L;
        while (!gateways.stream().allMatch(Program::isReady)) {
            if (System.nanoTime() > until) {
                throw new CannotRun("gateways did not become ready; turn hosts: " + store.read("lavendertrail/turn-hosts"));
            }
            Thread.sleep(100);
        }
    }

    void awaitTurnHosts(int count, int limitSeconds) throws Exception {
        long until = System.nanoTime() + limitSeconds * 1_000_000_000L;
        while (true) {
            String list = store.read("lavendertrail/turn-hosts");
            if (list != null && list.split("\"name\"").length - 1 == count) return;
            if (System.nanoTime() > until) throw new CannotRun("the list of turn hosts has not " + count + " members: " + list);
            Thread.sleep(100);
        }
    }

    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    interface Case {
        /** Returns whether the rule held. */
        boolean play(Site site) throws Exception;
    }

    /** Plays a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
    static void run(String recordFile, Case play) {
        int code = 2;
        try (Site site = new Site(Path.of(recordFile))) {
            try {
                code = play.play(site) ? 0 : 1;
            } catch (Exception e) {
                site.note("could not run: " + e);
                e.printStackTrace();
            }
            site.note("exit " + code);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private void end() {
        for (Program program : gateways) killQuietly(program);
        for (Program program : turnHosts) killQuietly(program);
    }

    private static void killQuietly(Program program) {
        try {
            program.kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        end();
        store.close();
        reservation.close();
        for (Backend server : servers) server.close();
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
