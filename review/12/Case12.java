package review3;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A server breaks off a stream, the client takes it up again, and the next turn continues from it. */
final class Case12 {
    private static final int EVENTS = 6;

    private Case12() {}

    public static void main(String[] args) {
        Site.run(args[0], Case12::play);
    }

    private static boolean play(Site site) throws Exception {
        for (int i = 1; i <= 3; i++) site.turnHost("store-" + i);
        site.gateway("front-1");
        site.gateway("front-2");
        Map<String, String> bodies = new ConcurrentHashMap<>();
        for (int i = 1; i <= 2; i++) {
            site.server("model-" + i, "model", (server, socket, request) -> {
                String attempt = request.header("Attempt-Id");
                bodies.put(attempt, request.text());
                String after = request.header("Last-Event-Id");
                Backend.write(socket, server.head(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
                for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
                    Backend.chunk(socket, "id: " + event + "\ndata: " + data(request.header("Program-Id"), event) + "\n\n");
                    Thread.sleep(20);
                    if (site.hasTrouble && attempt.startsWith("broken") && event == 3) {
                        socket.setSoLinger(true, 0);
                        return false;
                    }
                }
                Backend.write(socket, "0\r\n\r\n");
                return true;
            });
        }
        site.config(7, Site.route("/turns/", "stream", "model", 4000, 1, true, true), Site.LIMITS);
        site.start();

        boolean holds = true;
        for (int i = 0; i < 10; i++) {
            Program gateway = site.gateways.get(i % 2);
            String program = "p" + i;
            String input = "question " + i + "\n";
            String attempt = "broken" + i;
            Http first = Programs.turn(gateway, "/turns/x", attempt, program, null, input);
            site.note(attempt + ": " + Programs.text(first) + ", events " + events(first));
            if (!Programs.isWhole(first)) {
                try (Client client = new Client(site.gateways.get((i + 1) % 2))) {
                    Map<String, String> headers = Programs.turnHeaders("again" + i, program, null);
                    headers.put("Last-Event-Id", Integer.toString(events(first)));
                    headers.put("Resumes", attempt);
                    Http rest = client.call("POST", "/turns/x", headers, input.getBytes());
                    attempt = "again" + i;
                    site.note(attempt + ", after event " + events(first) + ": " + Programs.text(rest) + ", events " + events(rest));
                    if (!Programs.isWhole(rest)) continue;
                }
            }
            StringBuilder expected = new StringBuilder(input);
            for (int event = 1; event <= EVENTS; event++) expected.append(data(program, event)).append("\n");
            expected.append("and then\n");
            Http next = Programs.turn(gateway, "/turns/x", "next" + i, program, attempt, "and then\n");
            String body = bodies.get("next" + i);
            boolean isRight = body == null || body.equals(expected.toString());
            if (!isRight) holds = false;
            site.note("next" + i + " after " + attempt + ": " + Programs.text(next) + "; the server got "
                + (body == null ? "nothing" : "'" + body.replace("\n", "|") + "'") + (isRight ? "" : " and not '" + expected.toString().replace("\n", "|") + "'"));
        }
        return holds;
    }

    private static String data(String program, int event) {
        return program + " part " + event;
    }

    private static int events(Http answer) {
        return answer == null ? 0 : answer.text().split("id: ", -1).length - 1;
    }
}
