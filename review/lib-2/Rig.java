package rig2;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Starts the project's programs as processes with the commands of the deploy file, and ends them. */
public final class Rig implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter record;
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    public final Path folder;
    private final List<Proc> procs = new ArrayList<>();
    private int nextPort;

    /** A process of the project. */
    public static final class Proc {
        public final String name;
        public final String role;
        public final Path settings;
        public int callerPort;
        public int readyPort;
        public int peerPort;
        public Process process;
        int starts;

        Proc(String name, String role, Path settings) {
            this.name = name;
            this.role = role;
            this.settings = settings;
        }
    }

    public Rig(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-2-");
        nextPort = 20000 + (int) (ProcessHandle.current().pid() % 400) * 50;
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
        log("trouble " + (TROUBLE ? "on" : "off"));
    }

    public static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Writes a line to the record, with the time since the start. */
    public static synchronized void log(String line) {
        if (record != null) record.printf("%8.3f  %s%n", nowMs() / 1000.0, line);
    }

    /** The first of [count] consecutive free ports. */
    public synchronized int freePorts(int count) {
        while (true) {
            int first = nextPort;
            nextPort = nextPort + count > 60000 ? 20000 : nextPort + count;
            boolean isFree = true;
            for (int port = first; port < first + count && isFree; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                    isFree = socket.isBound();
                } catch (IOException e) {
                    isFree = false;
                }
            }
            if (isFree) return first;
        }
    }

    /** Starts a process of [role], `gateway` or `turns`, that reaches the store at [storePort]. */
    public Proc start(String role, String name, String zone, int storePort, boolean isFirstStart, Map<String, String> more)
            throws IOException {
        Proc proc = new Proc(name, role, folder.resolve(name + ".json"));
        proc.peerPort = freePorts(4);
        boolean isGateway = role.equals("gateway");
        if (isGateway) {
            proc.callerPort = freePorts(1);
            proc.readyPort = freePorts(1);
        }
        Map<String, String> values = new LinkedHashMap<>();
        values.put("nodeName", quoted(name));
        values.put("failureDomain", quoted(zone));
        values.put("ip", quoted("127.0.0.1"));
        values.put("callerAddress", isGateway ? quoted("127.0.0.1:" + proc.callerPort) : "null");
        values.put("readinessAddress", isGateway ? quoted("127.0.0.1:" + proc.readyPort) : "null");
        values.put("peerPorts", "[" + proc.peerPort + "," + (proc.peerPort + 3) + "]");
        values.put("dataFolder", isGateway ? "null" : quoted(folder.resolve("data-" + name).toString()));
        values.put("storeAddress", quoted("127.0.0.1:" + storePort));
        values.put("isFirstStart", Boolean.toString(isFirstStart));
        values.put("diskTolerance", "1");
        values.put("graceSeconds", "8");
        values.put("configBoundMillis", "2000");
        values.put("drainBoundMillis", "2000");
        values.put("revocationBoundMillis", "null");
        values.put("contracts", "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]");
        values.putAll(more);
        StringBuilder text = new StringBuilder("{\n");
        values.forEach((key, value) -> text.append("  \"").append(key).append("\": ").append(value).append(",\n"));
        text.setLength(text.length() - 2);
        Files.writeString(proc.settings, text.append("\n}\n"));
        procs.add(proc);
        launch(proc);
        return proc;
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    /** The `run` command of the deploy file, with the settings file added. */
    public void launch(Proc proc) throws IOException {
        String section = null;
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) section = line.trim();
            if (("[roles." + proc.role + "]").equals(section) && line.startsWith("run = ")) run = line.substring(7, line.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.add("--settings");
        command.add(proc.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(proc.name + ".log").toFile()));
        proc.process = builder.start();
        proc.starts++;
        log("start " + proc.role + " " + proc.name);
    }

    public void signal(Proc proc, String name) throws IOException {
        log("signal " + name + " to " + proc.name);
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(proc.process.pid())).inheritIO().start().waitFor();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    public boolean isReady(Proc proc) {
        return Http.call(proc.readyPort, "GET", "/lavendertrail/readyz", Map.of("Host", "ready"), new byte[0], 1000).status == 200;
    }

    public String state(Proc proc) {
        return new String(Http.call(proc.readyPort, "GET", "/state", Map.of("Host", "ready"), new byte[0], 1000).body);
    }

    /** Waits until all gateways are ready; false after [limitMs]. */
    public boolean awaitReady(long limitMs) {
        long endsAtMs = nowMs() + limitMs;
        while (nowMs() < endsAtMs) {
            if (procs.stream().filter(it -> it.role.equals("gateway")).allMatch(this::isReady)) return true;
            sleep(100);
        }
        return false;
    }

    public Path logFile(Proc proc) {
        return folder.resolve(proc.name + ".log");
    }

    private void endAll() {
        for (Proc proc : procs) {
            if (proc.process != null) proc.process.destroyForcibly();
        }
    }

    /** Ends all processes and removes the folder, unless KEEP is set. */
    @Override
    public void close() {
        endAll();
        for (Proc proc : procs) {
            try {
                proc.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        if (System.getenv("KEEP") != null) {
            System.err.println("kept " + folder);
            return;
        }
        try (Stream<Path> paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            log("folder left: " + e);
        }
    }

    /** Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    public void finish(int code, String verdict) {
        log("verdict " + code + ": " + verdict);
        System.out.println(verdict);
        close();
        System.exit(code);
    }
}
