import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that begins to run it; the server is back after three seconds. Its client sends it again and again,
 * with the same path, caller and body, through both entry hosts. It goes on reaching and crashing servers, and requests of other
 * clients that run on them are lost.
 */
final class PoisonRequest {
    private static final long TOUCH_MS = 3_000;
    private static final long DOWN_MS = 3_000;
    private static final long RETURN_MS = 2_000;
    private static final long PLAY_MS = 30_000;

    public static void main(String[] args) throws Exception {
        Rig.run(Path.of(args[0]), PoisonRequest::play);
    }

    private static int play(Rig rig) throws Exception {
        String store = rig.store.address();
        List<Long> crashes = new CopyOnWriteArrayList<>();
        List<Long> reached = new CopyOnWriteArrayList<>();
        for (int i = 0; i < 5; i++) {
            String zone = List.of("sohar", "shinas", "liwa").get(i % 3);
            rig.use(new Backend(rig.store, "i-desk-" + i, "permit-desk", zone, 6, run -> {
                if (!run.request.text().startsWith("poison")) {
                    Rig.pause(300);
                    run.answer(200, "done");
                    return;
                }
                reached.add(millis());
                if (Rig.TROUBLE) {
                    crashes.add(millis());
                    Rig.log("server " + run.server.id + " crashes, for the " + crashes.size() + ". time");
                    run.server.crash(DOWN_MS);
                    throw new IOException("crashed");
                }
                run.answer(200, "done");
            }));
        }
        rig.configure(1, List.of(Rig.route("grant", "/grant/", "non_idempotent", "permit-desk", "timeoutMs", 3000)));
        for (String zone : List.of("sohar", "shinas", "liwa")) rig.turns("store-" + zone, zone, store).start();
        List<Rig.Node> gateways = List.of(rig.gateway("front-sohar", "sohar", store).start(), rig.gateway("front-shinas", "shinas", store).start());
        rig.awaitReady(gateways, 30);
        rig.awaitTurnHosts(3, 15);
        Rig.pause(4_000);
        AtomicInteger others = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        long until = millis() + PLAY_MS;
        for (int c = 0; c < 8; c++) {
            int client = c;
            Rig.daemon(() -> {
                for (int i = 0; millis() < until - 1_000; i++) {
                    String id = "other-" + client + "-" + i;
                    others.incrementAndGet();
                    int status = send(gateways.get(i % 2), id, "/grant/" + client, "quota");
                    if (status != 200 && status != 503) {
                        lost.incrementAndGet();
                        Rig.log("client: " + id + " -> " + status);
                    }
                }
            });
        }
        for (int i = 0; millis() < until; i++) {
            String id = "poison-" + i;
            Rig.log("client: " + id + " at " + gateways.get(i % 2).name + " -> " + send(gateways.get(i % 2), id, "/grant/7?of=17", "poison"));
            Rig.pause(RETURN_MS);
        }
        long after = crashes.size() < 3 ? 0 : reached.stream().filter(t -> t > crashes.get(2) + TOUCH_MS).count();
        Rig.log(crashes.size() + " crashes; " + after + " retries reached servers later than " + TOUCH_MS + " ms after the third crash; "
            + lost.get() + " of " + others.get() + " other requests were lost");
        if (after > 3) return Rig.BROKEN;
        return reached.isEmpty() ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private static int send(Rig.Node gateway, String id, String path, String body) {
        try (Http.Client client = new Http.Client(gateway.callers)) {
            client.send("POST", path, "desk.example", id, body, "Cookie", "Affinity-Key=17", "Deadline-Ms", "3000");
            Http.Message answer = client.answer(4_000);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
