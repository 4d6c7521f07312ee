import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The platform's store refuses one entry host for nine seconds and serves the others. Meanwhile three turn hosts are added, and one
 * of the old ones freezes for 3.2 s. Turns that the other entry host has answered whole are answered 404 by the refused one.
 */
final class StaleHostList {
    private static final int TURNS = 30;
    private static final long REFUSED_MS = 9_000;
    private static final long FROZEN_MS = 3_200;

    public static void main(String[] args) throws Exception {
        Rig.run(Path.of(args[0]), StaleHostList::play);
    }

    private static int play(Rig rig) throws Exception {
        String store = rig.store.address();
        List<String> zones = List.of("sohar", "shinas", "liwa");
        for (String zone : zones) {
            rig.use(new Backend(rig.store, "i-engine-" + zone, "assist-model", zone, 16, run -> {
                run.startStream();
                for (int i = 1; i <= 2; i++) run.event(i, run.id() + "-" + i);
                run.endStream();
            }));
        }
        rig.configure(1, List.of(Rig.route("chat", "/chat/", "stream", "assist-model", "stateful", true)));
        List<Rig.Node> hosts = new ArrayList<>();
        for (String zone : zones) hosts.add(rig.turns("store-" + zone + "-1", zone, store).start());
        Proxy proxy = rig.use(new Proxy(store));
        Rig.Node served = rig.gateway("front-sohar", "sohar", store).start();
        Rig.Node refused = rig.gateway("front-shinas", "shinas", proxy.address()).start();
        rig.awaitReady(List.of(served, refused), 30);
        rig.awaitTurnHosts(3, 15);
        Rig.pause(2_000);

        long refusedAt = millis();
        if (Rig.TROUBLE) {
            proxy.refuse(true);
            Rig.log("the store refuses " + refused.name);
        }
        for (String zone : zones) rig.turns("store-" + zone + "-2", zone, store).restart();
        rig.awaitTurnHosts(6, 15);
        Rig.pause(800);
        if (Rig.TROUBLE) hosts.get(0).signal("STOP");
        long frozenAt = millis();
        List<String> answered = new ArrayList<>();
        for (int i = 0; i < TURNS && millis() - frozenAt < FROZEN_MS - 300; i++) {
            if (turn(served, "turn-" + i, null, i) == 200) answered.add("turn-" + i);
        }
        Rig.pause(Math.max(0, frozenAt + FROZEN_MS - millis()));
        if (Rig.TROUBLE) hosts.get(0).signal("CONT");
        List<String> lost = new ArrayList<>();
        int served2 = 0;
        for (int i = 0; i < answered.size() && (!Rig.TROUBLE || millis() - refusedAt < REFUSED_MS); i++) {
            String previous = answered.get(i);
            int status = turn(refused, "next-" + i, previous, Integer.parseInt(previous.substring(5)));
            if (status == 404 || status == 410) lost.add(previous);
            if (status == 200) served2++;
        }
        if (Rig.TROUBLE) proxy.refuse(false);
        Rig.log("of " + answered.size() + " turns answered whole, " + served2 + " were continued within " + (millis() - refusedAt)
            + " ms after the store began to refuse " + refused.name + ", and " + lost.size() + " were answered 404: " + lost);
        if (!lost.isEmpty()) return Rig.BROKEN;
        return served2 > 0 ? Rig.HELD : Rig.COULD_NOT_RUN;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
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
