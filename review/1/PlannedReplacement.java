import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A store machine is replaced as planned: the new one first, then SIGTERM. Turns that were answered between the start of the new
 * one and the SIGTERM have one copy left. More than `catchUpS` later, one other store machine loses its disk, and these turns are
 * answered 404.
 */
final class PlannedReplacement {
    private static final int TURNS = 40;
    private static final long CATCH_UP_MS = 4_400;

    public static void main(String[] args) throws Exception {
        Rig.run(Path.of(args[0]), PlannedReplacement::play);
    }

    private static int play(Rig rig) throws Exception {
        String store = rig.store.address();
        for (String zone : List.of("sohar", "shinas")) {
            rig.use(new Backend(rig.store, "i-engine-" + zone, "assist-model", zone, 16, run -> {
                run.startStream();
                for (int i = 1; i <= 2; i++) run.event(i, run.id() + "-" + i);
                run.endStream();
            }));
        }
        rig.configure(1, List.of(Rig.route("chat", "/chat/", "stream", "assist-model", "stateful", true)));
        List<Rig.Node> hosts = new ArrayList<>();
        for (String zone : List.of("sohar", "shinas", "liwa")) hosts.add(rig.turns("store-" + zone, zone, store).start());
        Rig.Node sohar = rig.gateway("front-sohar", "sohar", store).start();
        Rig.Node shinas = rig.gateway("front-shinas", "shinas", store).start();
        rig.awaitReady(List.of(sohar, shinas), 30);
        rig.awaitTurnHosts(3, 15);

        Rig.Node successor = rig.turns("store-sohar-2", "sohar", store);
        successor.restart();
        rig.awaitTurnHosts(4, 15);
        Rig.pause(1_000);
        long firstAt = System.nanoTime() / 1_000_000;
        List<String> answered = new ArrayList<>();
        for (int i = 0; i < TURNS; i++) if (turn(shinas, "turn-" + i, null, i) == 200) answered.add("turn-" + i);
        if (answered.size() < TURNS) return Rig.COULD_NOT_RUN;
        if (Rig.TROUBLE) {
            Rig.Node old = hosts.get(0);
            old.signal("TERM");
            Rig.pause(3_000);
            old.kill();
            old.wipe();
            Rig.log(old.name + " is gone for good; " + successor.name + " has taken its place");
            rig.awaitTurnHosts(3, 20);
            Rig.pause(CATCH_UP_MS + 2_000);
            Rig.Node wiped = hosts.get(1);
            wiped.kill();
            wiped.wipe();
            Rig.pause(1_000);
            wiped.restart();
            Rig.log(wiped.name + " has lost its disk and starts again");
            Rig.pause(CATCH_UP_MS + 3_000);
        } else {
            Rig.pause(20_000);
        }
        List<String> lost = new ArrayList<>();
        int served = 0;
        for (int i = 0; i < TURNS; i++) {
            int status = turn(sohar, "next-" + i, "turn-" + i, i);
            if (status == 404 || status == 410) lost.add("turn-" + i);
            if (status == 200) served++;
        }
        long sinceMs = System.nanoTime() / 1_000_000 - firstAt;
        Rig.log("the first turn was sent " + sinceMs + " ms before; of " + TURNS + " turns, " + served + " were continued, and "
            + lost.size() + " were answered 404: " + lost);
        if (sinceMs > 60_000) return Rig.COULD_NOT_RUN;
        if (!lost.isEmpty()) return Rig.BROKEN;
        return served == TURNS ? Rig.HELD : Rig.COULD_NOT_RUN;
    }

    private static int turn(Rig.Node gateway, String id, String previous, int program) throws IOException {
        List<String> headers = new ArrayList<>(List.of("Deadline-Ms", "4000", "Program-Id", "p" + program, "Session-Id", "s" + program,
            "Token-Budget", "1088", "Token-Usage", "1460,80"));
        if (previous != null) headers.addAll(List.of("Previous-Turn", previous));
        try (Http.Client client = new Http.Client(gateway.callers)) {
            client.send("POST", "/chat/1", "desk.example", id, "input of " + id + ";", headers.toArray(String[]::new));
            Http.Message answer = client.answer(5_000);
            String seen = answer == null ? "no answer" : answer.status() + (answer.complete ? " complete" : " incomplete");
            Rig.log("client: " + id + (previous == null ? "" : " after " + previous) + " at " + gateway.name + " -> " + seen);
            return answer == null || !answer.complete ? 0 : answer.status();
        }
    }
}
