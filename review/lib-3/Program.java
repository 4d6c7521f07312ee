package review3;

import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of a role, started with the command of the deploy file in the folder of the repository. */
final class Program {
    final String role;
    final String name;
    final String ip;
    private final Path folder;
    private final String storeAddress;
    private final int tolerance;
    private final int callerPort;
    private final int readyPort;
    private final int peerPort;
    private Process process;

    Program(String role, String name, String ip, int basePort, Path folder, String storeAddress, int tolerance) {
        this.role = role;
        this.name = name;
        this.ip = ip;
        this.folder = folder;
        this.storeAddress = storeAddress;
        this.tolerance = tolerance;
        callerPort = basePort;
        readyPort = basePort + 1;
        peerPort = basePort + 2;
    }

    int callerPort() {
        return callerPort;
    }

    Path data() {
        return folder.resolve(name + "-data");
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    void start(boolean isFirstStart) throws IOException {
        Files.createDirectories(data());
        boolean isGateway = role.equals("gateway");
        String settings = "{\"nodeName\":\"" + name + "\",\"failureDomain\":\"a\",\"ip\":\"" + ip + "\","
            + "\"callerAddress\":" + (isGateway ? "\"" + ip + ":" + callerPort + "\"" : "null") + ","
            + "\"readinessAddress\":" + (isGateway ? "\"" + ip + ":" + readyPort + "\"" : "null") + ","
            + "\"peerPorts\":[" + peerPort + "," + (peerPort + 15) + "],"
            + "\"dataFolder\":" + (isGateway ? "null" : "\"" + data() + "\"") + ","
            + "\"storeAddress\":\"" + storeAddress + "\",\"isFirstStart\":" + isFirstStart + ",\"diskTolerance\":" + tolerance + ","
            + "\"graceSeconds\":8,\"configBoundMillis\":2000,\"drainBoundMillis\":2000,\"revocationBoundMillis\":null,"
            + "\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]}";
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        List<String> command = new ArrayList<>(commandOfDeployFile());
        command.add("--settings");
        command.add(file.toString());
        process = new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
            .start();
    }

    private List<String> commandOfDeployFile() throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("[")) isRole = line.trim().equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run command of " + role);
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    void signal(String signal) throws IOException, InterruptedException {
        if (isAlive()) new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        if (process != null) process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress(ip, readyPort), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /lavendertrail/readyz HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            return new String(socket.getInputStream().readNBytes(15)).contains(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    boolean listensForPeers() {
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress(ip, peerPort), 500);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    String logText() throws IOException {
        File file = log().toFile();
        return file.exists() ? Files.readString(log()) : "";
    }
}
