package review3;

import java.io.IOException;
import java.util.Map;

/** Turns of agent programs, as clients send them. */
final class Programs {
    private Programs() {}

    static Map<String, String> turnHeaders(String attempt, String program, String previous) {
        Map<String, String> headers = Client.headers("Attempt-Id", attempt, "Model", "m", "Program-Id", program, "Session-Id", "s" + program,
            "Finish-Ms", "5200", "Token-Budget", "5000", "Token-Usage", "400,80", "Prompt-Prefix", "5c1e07a2:300," + program + ":100",
            "Deadline-Ms", "4000");
        if (previous != null) headers.put("Previous-Turn", previous);
        return headers;
    }

    /** Sends one turn on a new connection; returns the whole answer, or null if the connection ended without one. */
    static Http turn(Program gateway, String path, String attempt, String program, String previous, String input) throws IOException {
        try (Client client = new Client(gateway)) {
            return client.call("POST", path, turnHeaders(attempt, program, previous), input.getBytes());
        }
    }

    static boolean isWhole(Http answer) {
        return answer != null && answer.status() == 200 && answer.isComplete;
    }

    static String text(Http answer) {
        if (answer == null) return "closed without an answer";
        return answer.startLine + (answer.status() == 200 ? (answer.isComplete ? ", whole" : ", broken off") : "");
    }

    /** The answer of a sound model server: a stream of events with increasing ids. */
    static boolean stream(Backend server, java.net.Socket socket, Http request, int events) throws Exception {
        String after = request.header("Last-Event-Id");
        int from = after == null ? 1 : Integer.parseInt(after) + 1;
        Backend.write(socket, server.head(200, request,
            "Content-Type: text/event-stream\r\nServer-Load: 1,0,16\r\nTransfer-Encoding: chunked\r\n"));
        for (int i = from; i <= events; i++) {
            Backend.chunk(socket, "id: " + i + "\ndata: " + request.header("Attempt-Id") + " part " + i + "\n\n");
            Thread.sleep(15);
        }
        Backend.write(socket, "0\r\n\r\n");
        return true;
    }
}
