import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A conversation of three turns, each within `retainS` of the one before. Shortly before the third, the processes of all turn hosts
 * are killed and started again, with their disks. The third turn, which names a turn that was answered whole less than `retainS`
 * ago, is answered 404.
 */
final class ChainExpiry {
    private static final long RETAIN_MS = 60_000;

    public static void main(String[] args) throws Exception {
        Rig.run(Path.of(args[0]), ChainExpiry::play);
    }

    private static int play(Rig rig) throws Exception {
        String store = rig.store.address();
        Backend engine = rig.use(new Backend(rig.store, "i-engine", "assist-model", "sohar", 16, run -> {
            run.startStream();
            for (int i = 1; i <= 4; i++) {
                run.event(i, run.id() + "-" + i);
                Rig.pause(20);
            }
            run.endStream();
        }));
        rig.configure(1, List.of(Rig.route("chat", "/chat/", "stream", "assist-model", "stateful", true, "retainS", RETAIN_MS / 1000.0)));
        List<Rig.Node> hosts = new ArrayList<>();
        for (String zone : List.of("sohar", "shinas", "liwa")) hosts.add(rig.turns("store-" + zone, zone, store).start());
        Rig.Node first = rig.gateway("front-sohar", "sohar", store).start();
        Rig.Node second = rig.gateway("front-shinas", "shinas", store).start();
        rig.awaitReady(List.of(first, second), 30);
        rig.awaitTurnHosts(3, 15);
        Rig.pause(500);

        if (turn(first, "turn-1", null, "question 1;") != 200) return Rig.COULD_NOT_RUN;
        long firstAt = System.nanoTime() / 1_000_000;
        waitUntil(firstAt + 50_000);
        if (turn(first, "turn-2", "turn-1", "question 2;") != 200) return Rig.COULD_NOT_RUN;
        long secondAt = System.nanoTime() / 1_000_000;
        waitUntil(firstAt + 92_000);
        if (Rig.TROUBLE) {
            for (Rig.Node host : hosts) host.kill();
            for (Rig.Node host : hosts) host.restart();
        }
        waitUntil(firstAt + 97_000);
        int status = 0;
        for (int i = 0; i < 5 && status != 200 && status != 404 && status != 410; i++) {
            status = turn(second, "turn-3-" + i, "turn-2", "question 3;");
            Rig.pause(500);
        }
        long sinceSecond = System.nanoTime() / 1_000_000 - secondAt;
        Rig.log("turn-2 was answered whole " + sinceSecond + " ms before the end of the answer to turn-3; retainS is " + RETAIN_MS + " ms");
        if (status == 200) {
            String body = engine.runs.get(engine.runs.size() - 1).request.text();
            Rig.log("the server received: " + body.replace("\n", "|"));
            return Rig.HELD;
        }
        return status == 404 || status == 410 ? Rig.BROKEN : Rig.COULD_NOT_RUN;
    }

    private static void waitUntil(long millis) {
        Rig.pause(Math.max(0, millis - System.nanoTime() / 1_000_000));
    }

    private static int turn(Rig.Node gateway, String id, String previous, String input) throws IOException {
        List<String> headers = new ArrayList<>(List.of("Deadline-Ms", "4000", "Program-Id", "p1", "Session-Id", "s1",
            "Token-Budget", "1088", "Token-Usage", "1460,80"));
        if (previous != null) headers.addAll(List.of("Previous-Turn", previous));
        try (Http.Client client = new Http.Client(gateway.callers)) {
            client.send("POST", "/chat/1", "desk.example", id, input, headers.toArray(String[]::new));
            Http.Message answer = client.answer(5_000);
            String seen = answer == null ? "no answer" : answer.status() + (answer.complete ? " complete" : " incomplete");
            Rig.log("client: " + id + (previous == null ? "" : " after " + previous) + " at " + gateway.name + " -> " + seen);
            return answer == null || !answer.complete ? 0 : answer.status();
        }
    }
}
