import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The open connections of the entry hosts to the platform's store go silent, without a reset; new ones work. Over `touchMs` later, the
 * operator moves a route to another service. The entry hosts go on sending the route's requests to the old service.
 */
final class SilentConnections {
    private static final long TOUCH_MS = 3_000;
    private static final long CONFIG_MS = 2_000;
    private static final int REQUESTS = 20;

    public static void main(String[] args) throws Exception {
        Rig.run(Path.of(args[0]), SilentConnections::play);
    }

    private static int play(Rig rig) throws Exception {
        String store = rig.store.address();
        Backend oldServer = rig.use(new Backend(rig.store, "i-old", "permit-desk", "sohar", 6, run -> run.answer(200, "old")));
        Backend newServer = rig.use(new Backend(rig.store, "i-new", "assist-model", "shinas", 6, run -> run.answer(200, "new")));
        rig.configure(1, List.of(Rig.route("grant", "/grant/", "non_idempotent", "permit-desk")));
        for (String zone : List.of("sohar", "shinas", "liwa")) rig.turns("store-" + zone, zone, store).start();
        List<Rig.Node> gateways = new ArrayList<>();
        List<Proxy> proxies = new ArrayList<>();
        for (String zone : List.of("sohar", "shinas")) {
            Proxy proxy = rig.use(new Proxy(store));
            proxies.add(proxy);
            gateways.add(rig.gateway("front-" + zone, zone, proxy.address()).start());
        }
        rig.awaitReady(gateways, 30);
        rig.awaitTurnHosts(3, 15);
        Rig.pause(3_000);
        if (Rig.TROUBLE) {
            for (Proxy proxy : proxies) Rig.log("connections to the store that go silent: " + proxy.silence());
        }
        Rig.pause(TOUCH_MS + 1_500);
        rig.configure(2, List.of(Rig.route("grant", "/grant/", "non_idempotent", "assist-model")));
        Rig.pause(CONFIG_MS + 500);
        List<String> old = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Rig.Node gateway = gateways.get(i % gateways.size());
            String id = "grant-" + i;
            try (Http.Client client = new Http.Client(gateway.callers)) {
                client.send("POST", "/grant/" + i, "desk.example", id, "quota", "Deadline-Ms", "3000");
                Http.Message answer = client.answer(4_000);
                Rig.log("client: " + id + " at " + gateway.name + (gateway.isReady() ? " (ready)" : " (not ready)") + " -> "
                    + (answer == null ? "no answer" : answer.status() + " " + answer.text()));
            }
            if (oldServer.runs.stream().anyMatch(run -> run.id().equals(id))) old.add(id);
            Rig.pause(1_000);
        }
        Rig.log(old.size() + " of " + REQUESTS + " requests sent over " + CONFIG_MS + " ms after the acknowledgement of version 2 ran at the service of version 1: " + old);
        if (!old.isEmpty()) return Rig.BROKEN;
        return newServer.runs.size() == REQUESTS ? Rig.HELD : Rig.COULD_NOT_RUN;
    }
}
