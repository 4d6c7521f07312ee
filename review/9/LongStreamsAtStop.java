package case9;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import rig2.Backend;
import rig2.Http;
import rig2.Rig;
import rig2.Store;

/**
 * An entry host is stopped with SIGTERM. Clients whose kept connections have been idle send requests on them 3.5 to 3.9 s later. A few
 * of these streams are longer than most.
 */
public final class LongStreamsAtStop {
    private static final String HOST = "demo.example";
    private static final int DEADLINE_MS = 4000;
    private static final int EVENT_GAP_MS = 108;
    private static final int USUAL_EVENTS = 8;
    private static final int MOST_EVENTS = 34;
    private static final int KEPT_CONNECTIONS = 20;
    private static final int GRACE_MS = 8000;

    private static final AtomicInteger nextId = new AtomicInteger();

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" + HOST + "\",\"prefix\":\"/chat/\",\"kind\":\"stream\","
            + "\"timeoutMs\":4000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"llm\",\"attempts\":1,\"stateful\":false,"
            + "\"sticky\":true,\"resumable\":false,\"gapAimMs\":200}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\","
            + "\"maxConns\":160,\"engine\":{\"slots\":16,\"kvTokens\":210674,\"stride\":4}}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    /** Every tenth stream is a long one. */
    private static boolean run(Backend server, Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException {
        String attempt = head.get("Attempt-Id");
        int events = Integer.parseInt(attempt.substring(1)) % 10 == 0 ? MOST_EVENTS : USUAL_EVENTS;
        Rig.log("server " + server.id + " runs " + attempt + ", " + events + " events");
        Backend.startStream(out, attempt);
        for (int id = 1; id <= events; id++) {
            Thread.sleep(EVENT_GAP_MS);
            Backend.event(out, id, "token" + id);
        }
        Backend.endStream(out);
        return true;
    }

    private static Map<String, String> headers(String attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("Attempt-Id", attempt);
        headers.put("Model", "m");
        headers.put("Token-Usage", "1460,136");
        headers.put("Deadline-Ms", Integer.toString(DEADLINE_MS));
        return headers;
    }

    private static Http.Result send(Socket socket, InputStream in, String attempt) {
        Http.Result result = new Http.Result();
        long startMs = Rig.nowMs();
        try {
            socket.setSoTimeout(DEADLINE_MS);
            socket.getOutputStream().write(Http.requestBytes("POST", "/chat/" + attempt, headers(attempt), "prompt".getBytes()));
            Http.readAnswer(in, result, socket, startMs + DEADLINE_MS);
        } catch (IOException e) {
            result.error = e.toString();
        }
        result.millis = Rig.nowMs() - startMs;
        return result;
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(Path.of(args[0]));
        Store store = new Store();
        int port = store.listen((key, value) -> value);
        store.put("op/config", config());
        for (String zone : new String[] {"a", "b", "c"}) rig.start("turns", "store-" + zone, zone, port, true, Map.of());
        Rig.Proc gateway = rig.start("gateway", "front-a", "a", port, true, Map.of());
        for (int i = 1; i <= 3; i++) new Backend(store, "i-" + i, "llm", "a", "v1", 16, 0, LongStreamsAtStop::run);
        if (!rig.awaitReady(30_000)) rig.finish(2, "the entry host did not get ready");
        Rig.sleep(1000);
        // Some seconds of usual traffic, on new connections: eight clients, one stream after the other.
        AtomicInteger usual = new AtomicInteger();
        CountDownLatch warm = new CountDownLatch(8);
        for (int i = 0; i < 8; i++) {
            Rig.daemon(() -> {
                long endsAtMs = Rig.nowMs() + 20_000;
                while (Rig.nowMs() < endsAtMs) {
                    String attempt = "u" + nextId.incrementAndGet();
                    Http.Result result = Http.call(gateway.callerPort, "POST", "/chat/" + attempt, headers(attempt), "prompt".getBytes(), DEADLINE_MS);
                    if (result.status == 200 && result.isWhole) usual.incrementAndGet();
                }
                warm.countDown();
            });
        }
        if (!warm.await(60, TimeUnit.SECONDS)) rig.finish(2, "the usual traffic did not end");
        Rig.log("usual traffic: " + usual + " streams served");
        // The connections that clients keep: one request each, and then idle.
        Socket[] sockets = new Socket[KEPT_CONNECTIONS];
        InputStream[] ins = new InputStream[KEPT_CONNECTIONS];
        CountDownLatch kept = new CountDownLatch(KEPT_CONNECTIONS);
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            int number = i;
            Rig.daemon(() -> {
                try {
                    Socket socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", gateway.callerPort), 1000);
                    socket.setTcpNoDelay(true);
                    sockets[number] = socket;
                    ins[number] = new BufferedInputStream(socket.getInputStream());
                    send(socket, ins[number], "k" + (1000 + number * 10 + 1));
                } catch (IOException e) {
                    Rig.log("connection " + number + ": " + e);
                }
                kept.countDown();
            });
        }
        kept.await(10, TimeUnit.SECONDS);
        Rig.sleep(500);
        long stopAtMs = Rig.nowMs();
        if (Rig.TROUBLE) rig.signal(gateway, "TERM");
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(KEPT_CONNECTIONS);
        for (int i = 0; i < KEPT_CONNECTIONS; i++) {
            int number = i;
            Rig.daemon(() -> {
                // 3.5 to 3.9 s after the signal, and every other one a long stream.
                Rig.sleep(Math.max(0, stopAtMs + 3500 + number * 20 - Rig.nowMs()));
                String attempt = "k" + (2000 + number * 10 + (number % 2 == 0 ? 0 : 1));
                long sentAtMs = Rig.nowMs() - stopAtMs;
                Http.Result result = send(sockets[number], ins[number], attempt);
                long endMs = Rig.nowMs() - stopAtMs;
                boolean isCut = result.status == 200 && !result.isWhole && !result.error.contains("Timeout") && endMs <= GRACE_MS + 1000;
                if (isCut) cut.incrementAndGet();
                else if (result.isWhole) whole.incrementAndGet();
                else other.incrementAndGet();
                Rig.log((isCut ? "CUT " : "") + attempt + " sent " + sentAtMs + " ms after the signal, " + result + ", " + result.events.size()
                    + " events, ended after " + result.millis + " ms, " + endMs + " ms after the signal");
                done.countDown();
            });
        }
        done.await(20, TimeUnit.SECONDS);
        String counts = cut + " of " + KEPT_CONNECTIONS + " requests that were passed on were cut off, " + whole + " answered whole, " + other + " without an answer";
        if (usual.get() < 50) rig.finish(2, "too little usual traffic: " + counts);
        rig.finish(cut.get() > 0 ? 1 : 0, counts);
    }
}
