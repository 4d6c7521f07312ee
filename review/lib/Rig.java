import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Starts the project's programs as separate processes beside stand-ins, and records what happens in record.txt. */
final class Rig implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long START = System.nanoTime();
    private static PrintWriter record;

    interface Case {
        int play(Rig rig) throws Exception;
    }

    /** One process of the project. */
    final class Node {
        final String name;
        final String role;
        final String zone;
        final String callers;
        final String readiness;
        private final int peerPort;
        private final Path settings;
        private final Path data;
        private String storeAddress;
        private Process process;

        private Node(String role, String name, String zone, String storeAddress) throws IOException {
            this.role = role;
            this.name = name;
            this.zone = zone;
            List<Integer> ports = freePorts(3);
            callers = "127.0.0.1:" + ports.get(0);
            readiness = "127.0.0.1:" + ports.get(1);
            peerPort = ports.get(2);
            data = folder.resolve(name + "-data");
            settings = folder.resolve(name + ".json");
            writeSettings(storeAddress, true);
        }

        private void writeSettings(String storeAddress, boolean isFirstStart) throws IOException {
            boolean isGateway = role.equals("gateway");
            Map<String, Object> all = Json.of("nodeName", name, "failureDomain", zone, "ip", "127.0.0.1",
                "callerAddress", isGateway ? callers : null, "readinessAddress", isGateway ? readiness : null,
                "peerPorts", List.of(peerPort, peerPort + 15), "dataFolder", isGateway ? null : data.toString(),
                "storeAddress", storeAddress, "isFirstStart", isFirstStart, "diskTolerance", 1, "graceSeconds", 8,
                "configBoundMillis", 2000, "drainBoundMillis", 2000);
            Files.writeString(settings, Json.write(all));
            this.storeAddress = storeAddress;
        }

        Node start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runCommand(role).split(" ")));
            command.add("--settings");
            command.add(settings.toString());
            File output = folder.resolve(name + ".log").toFile();
            ProcessBuilder builder = new ProcessBuilder(command).directory(new File(".")).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output));
            builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            process = builder.start();
            log("started " + role + " " + name + " as process " + process.pid());
            return this;
        }

        void signal(String signal) throws Exception {
            log("SIG" + signal + " to " + name);
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        void kill() throws Exception {
            signal("KILL");
            process.waitFor(5, TimeUnit.SECONDS);
        }

        /** Starts the process again after a kill; settings of a later start say that the system ran before. */
        void restart() throws IOException {
            writeSettings(storeAddress, false);
            start();
        }

        /** Removes everything on the machine's disk. */
        void wipe() throws IOException {
            if (!Files.exists(data)) return;
            try (var files = Files.walk(data)) {
                files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }

        boolean isReady() {
            try (Http.Client client = new Http.Client(readiness)) {
                client.send("GET", "/lavendertrail/readyz", readiness, "-", "");
                Http.Message m = client.answer(1_000);
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String output() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    final Path folder;
    final Store store;
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    private Rig() throws IOException {
        folder = Files.createTempDirectory("review");
        store = new Store();
    }

    /** Plays [play] and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(Path recordFile, Case play) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        log("TROUBLE=" + (TROUBLE ? 1 : 0));
        int result = COULD_NOT_RUN;
        Rig rig = new Rig();
        Thread atExit = new Thread(rig::killAll);
        Runtime.getRuntime().addShutdownHook(atExit);
        daemon(() -> {
            pause(118_000);
            log("stopped after 118 s");
            Runtime.getRuntime().halt(rig.killAllAnd(COULD_NOT_RUN));
        });
        try {
            result = play.play(rig);
        } catch (Exception e) {
            log("could not run: " + e);
            e.printStackTrace();
        }
        if (System.getenv("KEEP_LOGS") != null) log("logs of the processes: " + rig.folder);
        log("exit " + result + (result == BROKEN ? ": the rule was broken" : result == HELD ? ": the rule held" : ": could not run"));
        rig.close();
        System.exit(result);
    }

    static synchronized void log(String line) {
        String text = String.format("%8.3f %s", (System.nanoTime() - START) / 1e9, line);
        if (record != null) record.println(text);
        System.out.println(text);
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** The last port of each range, held so that scripts that run side by side choose different ranges. */
    private static final List<ServerSocket> reservations = new ArrayList<>();
    private static int nextRange = 21_000 + (int) (ProcessHandle.current().pid() % 400) * 20;

    /** Two free ports, and the first of 16 ports that no other process of the rig uses. */
    private static synchronized List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 1; i < count; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(s);
            ports.add(s.getLocalPort());
        }
        for (ServerSocket s : sockets) s.close();
        while (true) {
            int first = nextRange;
            nextRange += 20;
            try {
                reservations.add(new ServerSocket(first + 15, 1, InetAddress.getLoopbackAddress()));
            } catch (IOException e) {
                continue;
            }
            try (ServerSocket a = new ServerSocket(first, 1, InetAddress.getLoopbackAddress());
                ServerSocket b = new ServerSocket(first + 1, 1, InetAddress.getLoopbackAddress())) {
                ports.add(first);
                return ports;
            } catch (IOException e) {
                // Another program uses one of the ports.
            }
        }
    }

    private static String runCommand(String role) throws IOException {
        boolean isInRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) isInRole = line.equals("[roles." + role + "]");
            if (isInRole && line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("no run command for " + role);
    }

    Node gateway(String name, String zone, String storeAddress) throws IOException {
        return add(new Node("gateway", name, zone, storeAddress));
    }

    Node turns(String name, String zone, String storeAddress) throws IOException {
        return add(new Node("turns", name, zone, storeAddress));
    }

    private Node add(Node node) {
        nodes.add(node);
        return node;
    }

    <T extends AutoCloseable> T use(T part) {
        parts.add(part);
        return part;
    }

    /** Waits until all of [gateways] report ready. */
    void awaitReady(List<Node> gateways, int seconds) throws Exception {
        for (Node gateway : gateways) {
            for (int i = 0; !gateway.isReady(); i++) {
                if (i > seconds * 10) throw new IOException(gateway.name + " did not become ready\n" + gateway.output());
                pause(100);
            }
        }
        log("gateways are ready");
    }

    /** Waits until the project's list of turn hosts in the store has [count] hosts. */
    void awaitTurnHosts(int count, int seconds) throws IOException {
        for (int i = 0; turnHosts().size() != count; i++) {
            if (i > seconds * 20) throw new IOException("turn hosts: " + turnHosts());
            pause(50);
        }
        log("turn hosts: " + turnHosts());
    }

    List<String> turnHosts() {
        String text = store.read("lavendertrail/turn-hosts");
        if (text == null) return List.of();
        Map<String, String> names = new TreeMap<>();
        for (Object entry : (List<?>) Json.parse(text)) names.put(((Map<?, ?>) entry).get("name").toString(), "");
        return List.copyOf(names.keySet());
    }

    /** A configuration with the routes of a small deployment. */
    static Map<String, Object> route(String name, String prefix, String kind, String service, Object... more) {
        Map<String, Object> route = Json.of("name", name, "host", "desk.example", "prefix", prefix, "kind", kind, "timeoutMs", 4000,
            "targetLatencyMs", 250, "priority", 0, "service", service, "attempts", 1, "stateful", false, "retainS", 60.0,
            "sticky", true, "resumable", false, "gapAimMs", 200);
        route.putAll(Json.of(more));
        return route;
    }

    void configure(long version, List<Map<String, Object>> routes) {
        Map<String, Object> engine = Json.of("slots", 16, "kvTokens", 210674, "kvBytes", 192512, "linkMbps", 560000.0, "moves", true,
            "backups", true, "stride", 4, "most", 12, "pinMs", 4000.0, "holdMs", 2000.0, "handle_s", 5.0,
            "models", List.of(Json.of("name", "m")));
        List<Object> services = List.of(
            Json.of("name", "assist-model", "healthPath", "/healthz", "maxConns", 160, "protocol", "h1", "tls", false, "engine", engine),
            Json.of("name", "permit-desk", "healthPath", "/healthz", "maxConns", 96, "protocol", "h1", "tls", false));
        store.write("op/config", Json.write(Json.of("version", version, "routes", routes, "services", services, "limits",
            Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000))));
        log("operator: configuration " + version + " acknowledged");
    }

    private void killAll() {
        for (Node node : nodes) if (node.process != null) node.process.destroyForcibly();
    }

    private int killAllAnd(int result) {
        killAll();
        return result;
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Node node : nodes) if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
        for (AutoCloseable part : parts) part.close();
        store.close();
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }
}
