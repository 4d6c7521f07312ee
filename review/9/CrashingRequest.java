package case9;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import rig2.Backend;
import rig2.Http;
import rig2.Rig;
import rig2.Store;

/** A request crashes each server that begins to run it. Three programs of one caller send it, each through another entry host. */
public final class CrashingRequest {
    private static final String HOST = "demo.example";
    private static final String PATH = "/notice/4b";
    private static final int TOUCH_MS = 3000;
    private static final int SERVERS = 12;
    private static final int CRASH_MS = 300;
    private static final String[] ZONES = {"a", "b", "c"};

    private static final AtomicInteger nextId = new AtomicInteger();
    private static final AtomicInteger nextServer = new AtomicInteger();
    private static final AtomicInteger others = new AtomicInteger();
    private static final List<Long> arrivals = new ArrayList<>();
    private static final Map<String, Long> crashes = new LinkedHashMap<>();
    private static Store store;
    private static volatile boolean isOver;

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-notice\",\"host\":\"" + HOST + "\",\"prefix\":\"/notice/\",\"kind\":\"non_idempotent\","
            + "\"timeoutMs\":1500,\"targetLatencyMs\":120,\"priority\":2,\"service\":\"desk\",\"attempts\":1}],\"services\":[{\"name\":"
            + "\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":96}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private static boolean run(Backend server, Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException {
        String attempt = head.get("Attempt-Id");
        if (attempt.startsWith("x")) {
            Rig.log("server " + server.id + " begins to run " + attempt);
            synchronized (arrivals) {
                arrivals.add(Rig.nowMs());
            }
            if (Rig.TROUBLE) {
                Thread.sleep(CRASH_MS);
                crash(server);
                return false;
            }
        }
        Thread.sleep(20);
        Backend.answer(out, 200, "OK", attempt, "Response-Stamp: " + Backend.stamp(attempt) + "\r\n", "done".getBytes());
        return true;
    }

    /** Ends the server, which is back three seconds later under a new id. */
    private static void crash(Backend server) {
        synchronized (crashes) {
            if (crashes.containsKey(server.id)) return;
            crashes.put(server.id, Rig.nowMs());
        }
        Rig.log("server " + server.id + " crashes");
        server.crash();
        store.delete("servers/" + server.id);
        Rig.daemon(() -> {
            Rig.sleep(3000);
            startServer(server.zone);
        });
    }

    private static void startServer(String zone) {
        try {
            new Backend(store, "i-" + nextServer.incrementAndGet(), "desk", zone, "v1", 6, 0, CrashingRequest::run);
        } catch (IOException e) {
            Rig.log("server not started: " + e);
        }
    }

    private static Http.Result send(int port, String attempt, String path, String session) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Attempt-Id", attempt);
        headers.put("Cookie", "Affinity-Key=17");
        headers.put("Program-Id", "p" + session);
        headers.put("Session-Id", "s" + session);
        headers.put("Deadline-Ms", "1500");
        return Http.call(port, "POST", path, headers, "the same body".getBytes(), 1500);
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        store = new Store();
        int port = store.listen((key, value) -> value);
        store.put("op/config", config());
        for (String zone : ZONES) rig.start("turns", "store-" + zone, zone, port, true, Map.of());
        List<Rig.Proc> gateways = new ArrayList<>();
        for (String zone : ZONES) gateways.add(rig.start("gateway", "front-" + zone, zone, port, true, Map.of()));
        for (int i = 0; i < SERVERS; i++) startServer(ZONES[i % ZONES.length]);
        if (!rig.awaitReady(40_000)) rig.finish(2, "the entry hosts did not get ready");
        Rig.sleep(2000);
        // Requests of others, on paths of their own.
        for (Rig.Proc gateway : gateways) {
            Rig.daemon(() -> {
                while (!isOver) {
                    String attempt = "u" + nextId.incrementAndGet();
                    if (send(gateway.callerPort, attempt, "/notice/" + attempt, attempt).status == 200) others.incrementAndGet();
                    Rig.sleep(50);
                }
            });
        }
        Rig.sleep(3000);
        for (int wave = 1; wave <= 4; wave++) {
            Rig.log("the request comes at each entry host, time " + wave);
            List<Thread> threads = new ArrayList<>();
            for (Rig.Proc gateway : gateways) {
                String attempt = "x" + nextId.incrementAndGet();
                threads.add(Rig.daemon(() -> {
                    Http.Result result = send(gateway.callerPort, attempt, PATH, attempt);
                    Rig.log(attempt + " at " + gateway.name + ": " + result);
                }));
            }
            for (Thread thread : threads) thread.join();
            Rig.sleep(4500);
        }
        isOver = true;
        Rig.sleep(500);
        arrivals.sort(null);
        List<Long> crashedAtMs = new ArrayList<>(crashes.values());
        long thirdCrashMs = crashedAtMs.size() < 3 ? Long.MAX_VALUE / 2 : crashedAtMs.get(2);
        long late = arrivals.stream().filter(at -> at > thirdCrashMs + TOUCH_MS).count();
        String counts = late + " retries reached servers later than 3 s after the third server crashed; " + arrivals.size() + " in all; " + others + " other requests served";
        if (others.get() < 200) rig.finish(2, "too little other traffic: " + counts);
        rig.finish(Rig.TROUBLE && late > 3 ? 1 : 0, counts);
    }
}
