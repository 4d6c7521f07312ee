package case8;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import rig2.Backend;
import rig2.Http;
import rig2.Rig;
import rig2.Store;

/** A server crashes under streams that have run for 65 s. Their clients take them up again. */
public final class LongStreams {
    private static final String HOST = "demo.example";
    private static final int EVENT_GAP_MS = 1000;
    private static final int EVENTS = 75;
    private static final int DEADLINE_MS = 100_000;
    private static final int STREAMS = 24;
    private static final int CRASH_AFTER_MS = Integer.parseInt(System.getenv().getOrDefault("CRASH_AFTER_MS", "65000"));

    private static final AtomicInteger nextId = new AtomicInteger();
    private static final AtomicInteger begun = new AtomicInteger();
    private static final AtomicInteger resumed = new AtomicInteger();
    private static final AtomicInteger wentOn = new AtomicInteger();
    private static final AtomicInteger whole = new AtomicInteger();
    private static final AtomicInteger newOnes = new AtomicInteger();
    private static final AtomicInteger newOnesBegun = new AtomicInteger();

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-report\",\"host\":\"" + HOST + "\",\"prefix\":\"/report/\",\"kind\":\"stream\","
            + "\"timeoutMs\":100000,\"targetLatencyMs\":1500,\"priority\":0,\"service\":\"llm\",\"attempts\":1,\"stateful\":false,"
            + "\"sticky\":true,\"resumable\":true,\"gapAimMs\":1500}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
            + "\"maxConns\":160,\"engine\":{\"slots\":16,\"kvTokens\":210674,\"stride\":4}}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    private static boolean run(Backend server, Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException {
        String attempt = head.get("Attempt-Id");
        String last = head.get("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        Rig.log("server " + server.id + " runs " + attempt + (last == null ? "" : " from event " + first));
        int events = attempt.startsWith("n") ? 3 : EVENTS;
        Backend.startStream(out, attempt);
        for (int id = first; id <= events; id++) {
            Thread.sleep(EVENT_GAP_MS);
            Backend.event(out, id, "token" + id);
        }
        Backend.endStream(out);
        return true;
    }

    private static Map<String, String> headers(String attempt, int leftMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Attempt-Id", attempt);
        headers.put("Model", "m");
        headers.put("Token-Usage", "1460,320");
        headers.put("Deadline-Ms", Integer.toString(leftMs));
        return headers;
    }

    /** One stream: the first attempt, and up to four more that take it up after its last event. */
    private static void stream(int port) {
        long endsAtMs = Rig.nowMs() + DEADLINE_MS;
        String firstAttempt = "a" + nextId.incrementAndGet();
        Http.Result result = Http.call(port, "POST", "/report/" + firstAttempt, headers(firstAttempt, DEADLINE_MS), "prompt".getBytes(), DEADLINE_MS);
        if (!result.events.isEmpty()) begun.incrementAndGet();
        Rig.log(firstAttempt + " " + result + " up to event " + result.lastEventId() + " after " + result.millis + " ms");
        String lastEvent = result.lastEventId();
        boolean goesOn = false;
        for (int tries = 0; tries < 4 && !result.isWhole && lastEvent != null; tries++) {
            String attempt = "a" + nextId.incrementAndGet();
            int leftMs = (int) (endsAtMs - Rig.nowMs());
            Map<String, String> headers = headers(attempt, leftMs);
            headers.put("Last-Event-Id", lastEvent);
            headers.put("Resumes", firstAttempt);
            if (tries == 0) resumed.incrementAndGet();
            result = Http.call(port, "POST", "/report/" + attempt, headers, "prompt".getBytes(), leftMs);
            Rig.log(attempt + " takes up " + firstAttempt + " after event " + lastEvent + ": " + result + ", " + result.events.size() + " events");
            goesOn = goesOn || !result.events.isEmpty();
            if (!result.events.isEmpty()) lastEvent = result.lastEventId();
            if (result.isWhole && result.status == 200) break;
            result.isWhole = false;
            String retryAfter = result.head == null ? null : result.head.get("Retry-After");
            Rig.sleep(retryAfter == null ? 500 : (long) (Double.parseDouble(retryAfter) * 1000));
        }
        if (goesOn) wentOn.incrementAndGet();
        if (result.isWhole && result.status == 200) whole.incrementAndGet();
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Store store = new Store();
        int port = store.listen((key, value) -> value);
        store.put("op/config", config());
        for (String zone : new String[] {"a", "b", "c"}) rig.start("turns", "store-" + zone, zone, port, true, Map.of());
        Rig.Proc gateway = rig.start("gateway", "front-a", "a", port, true, Map.of());
        Backend first = new Backend(store, "i-1", "llm", "a", "v1", 16, 0, LongStreams::run);
        new Backend(store, "i-2", "llm", "b", "v1", 16, 0, LongStreams::run);
        new Backend(store, "i-3", "llm", "b", "v1", 16, 0, LongStreams::run);
        if (!rig.awaitReady(30_000)) rig.finish(2, "the entry host did not get ready");
        Rig.sleep(500);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            threads.add(Rig.daemon(() -> stream(gateway.callerPort)));
            Rig.sleep(20);
        }
        Rig.sleep(CRASH_AFTER_MS);
        if (Rig.TROUBLE) {
            Rig.log("server i-1 crashes");
            first.crash();
            store.delete("servers/i-1");
        }
        // New streams begin meanwhile.
        for (int i = 0; i < 6; i++) {
            newOnes.incrementAndGet();
            String attempt = "n" + nextId.incrementAndGet();
            Rig.daemon(() -> {
                Http.Result result = Http.call(gateway.callerPort, "POST", "/report/" + attempt, headers(attempt, 10_000), "prompt".getBytes(), 10_000);
                if (!result.events.isEmpty()) newOnesBegun.incrementAndGet();
            });
            Rig.sleep(200);
        }
        for (Thread thread : threads) thread.join(Math.max(1, 105_000 - Rig.nowMs()));
        String counts = wentOn + " of " + resumed + " streams that clients took up again went on, " + whole + " of " + begun + " ended whole; "
            + newOnesBegun + " of " + newOnes + " new streams began";
        if (begun.get() < STREAMS || newOnesBegun.get() < newOnes.get()) rig.finish(2, "too few streams: " + counts);
        if (Rig.TROUBLE && resumed.get() < 12) rig.finish(2, "too few streams to take up: " + counts);
        rig.finish(Rig.TROUBLE && wentOn.get() * 2 < resumed.get() ? 1 : 0, counts);
    }
}
