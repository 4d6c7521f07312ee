import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer puts an entry under `servers/` whose bytes can't be read. Then the operator moves a route to another service. Both
 * gateways go on sending the route's requests to the old service.
 */
final class UnreadableEntry {
    /** One thousandth of `valueBytes`. */
    private static final int VALUE_BYTES = 1_000;
    private static final int CONFIG_MS = 2_000;
    private static final int REQUESTS = 10;

    public static void main(String[] args) throws Exception {
        Rig.run(Path.of(args[0]), UnreadableEntry::play);
    }

    private static int play(Rig rig) throws Exception {
        String store = rig.store.address();
        Backend oldServer = rig.use(new Backend(rig.store, "i-old", "permit-desk", "sohar", 6, run -> run.answer(200, "old")));
        Backend newServer = rig.use(new Backend(rig.store, "i-new", "assist-model", "shinas", 6, run -> run.answer(200, "new")));
        rig.configure(1, List.of(Rig.route("grant", "/grant/", "non_idempotent", "permit-desk")));
        for (String zone : List.of("sohar", "shinas", "liwa")) rig.turns("store-" + zone, zone, store).start();
        List<Rig.Node> gateways = List.of(rig.gateway("front-sohar", "sohar", store).start(), rig.gateway("front-shinas", "shinas", store).start());
        rig.awaitReady(gateways, 30);
        rig.awaitTurnHosts(3, 15);
        Rig.pause(2_000);
        if (Rig.TROUBLE) {
            rig.store.write("servers/i-foreign", "[".repeat(VALUE_BYTES));
            Rig.log("another writer: servers/i-foreign, " + VALUE_BYTES + " bytes that are no JSON");
        }
        Rig.pause(5_000);
        rig.configure(2, List.of(Rig.route("grant", "/grant/", "non_idempotent", "assist-model")));
        Rig.pause(CONFIG_MS + 3_000);
        List<String> old = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Rig.Node gateway = gateways.get(i % gateways.size());
            String id = "grant-" + i;
            try (Http.Client client = new Http.Client(gateway.callers)) {
                client.send("POST", "/grant/" + i, "desk.example", id, "quota", "Deadline-Ms", "3000");
                Http.Message answer = client.answer(4_000);
                Rig.log("client: " + id + " at " + gateway.name + " -> " + (answer == null ? "no answer" : answer.status() + " " + answer.text()));
            }
            if (oldServer.runs.stream().anyMatch(run -> run.id().equals(id))) old.add(id);
            Rig.pause(200);
        }
        Rig.log(old.size() + " of " + REQUESTS + " requests sent over " + CONFIG_MS + " ms after the acknowledgement of version 2 ran at the service of version 1: " + old);
        if (old.isEmpty() && newServer.runs.size() < REQUESTS) return Rig.COULD_NOT_RUN;
        if (Rig.TROUBLE) {
            gateways.get(0).kill();
            gateways.get(0).restart();
            Rig.pause(10_000);
            Rig.log("after a restart and 10 s, " + gateways.get(0).name + " is " + (gateways.get(0).isReady() ? "" : "not ") + "ready");
        }
        return old.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}
