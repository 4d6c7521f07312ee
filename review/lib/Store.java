import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's metadata store: linearizable, with leases, history and long polling, as PROTOCOL.md describes it. */
final class Store implements AutoCloseable {
    record Item(String key, String value, long rev, long createRev, long lease) {
        Map<String, Object> body() {
            return Json.of("key", key, "value", value, "rev", rev, "createRev", createRev, "lease", lease);
        }
    }

    private record Change(long rev, Map<String, Object> body) {}

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7000;
    private volatile boolean closed;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", this::handle);
        server.start();
        Thread expiry = new Thread(this::expireLeases, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an entry as the operator or a server does. */
    synchronized long write(String key, String text) {
        return put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.add(new Change(revision, Json.of("key", key, "rev", revision, "removed", true)));
        notifyAll();
    }

    synchronized String read(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    private long put(String key, String value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.createRev(), lease);
        items.put(key, item);
        history.add(new Change(revision, item.body()));
        notifyAll();
        return revision;
    }

    private void expireLeases() {
        while (!closed) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                List<Long> ended = leases.entrySet().stream().filter(e -> e.getValue().endsAt < now).map(Map.Entry::getKey).toList();
                ended.forEach(this::endLease);
            }
            Rig.pause(50);
        }
    }

    private void endLease(long id) {
        if (leases.remove(id) == null) return;
        items.values().stream().filter(i -> i.lease() == id).map(Item::key).toList().forEach(this::remove);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        try {
            if (path.endsWith("/kv-key")) key(exchange, query);
            else if (path.endsWith("/kv-range")) range(exchange, query);
            else if (path.endsWith("/kv-watch")) watch(exchange, query);
            else if (path.endsWith("/kv-txn")) transaction(exchange, Json.object(body));
            else if (path.endsWith("/kv-lease")) grant(exchange, Json.object(body));
            else if (path.contains("/kv-keep/")) keep(exchange, Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            else if (path.contains("/kv-lease-end/")) {
                synchronized (this) {
                    endLease(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                }
                reply(exchange, 200, Json.of());
            } else reply(exchange, 404, Json.of());
        } catch (IOException e) {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw == null) return result;
        for (String part : raw.split("&")) {
            int eq = part.indexOf('=');
            result.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return result;
    }

    private void key(HttpExchange exchange, Map<String, String> query) throws IOException {
        Map<String, Object> body;
        synchronized (this) {
            Item item = items.get(query.get("key"));
            body = item == null ? Json.of() : item.body();
            body.put("storeRevision", revision);
            if (item == null) body = null;
        }
        if (body == null) reply(exchange, 404, Json.of());
        else reply(exchange, 200, body);
    }

    private void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.get("after");
        List<Object> found = new ArrayList<>();
        boolean truncated = false;
        long at;
        synchronized (this) {
            at = revision;
            for (Item item : items.values()) {
                if (!item.key().startsWith(prefix) || (after != null && item.key().compareTo(after) <= 0)) continue;
                if (found.size() == 500) {
                    truncated = true;
                    break;
                }
                found.add(item.body());
            }
        }
        reply(exchange, 200, Json.of("items", found, "truncated", truncated, "storeRevision", at));
    }

    private void watch(HttpExchange exchange, Map<String, String> query) throws IOException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        List<Object> events = new ArrayList<>();
        long at;
        synchronized (this) {
            while (true) {
                for (Change change : history) {
                    if (change.rev() > after && change.body().get("key").toString().startsWith(prefix)) events.add(change.body());
                }
                at = revision;
                long leftMs = (until - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || leftMs <= 0 || closed) break;
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    break;
                }
            }
        }
        reply(exchange, 200, Json.of("events", events, "storeRevision", at));
    }

    @SuppressWarnings("unchecked")
    private void transaction(HttpExchange exchange, Map<String, Object> body) throws IOException {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) body.getOrDefault("expectRev", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("put", List.of());
        List<String> deletes = (List<String>) body.getOrDefault("delete", List.of());
        int status = 200;
        Object answer;
        synchronized (this) {
            boolean holds = expected.stream().allMatch(e -> {
                Item item = items.get((String) e.get("key"));
                return (item == null ? 0 : item.rev()) == (Long) e.get("rev");
            });
            boolean leaseMissing = puts.stream().anyMatch(p -> (Long) p.getOrDefault("lease", 0L) != 0 && !leases.containsKey((Long) p.get("lease")));
            if (!holds) {
                status = 412;
                List<Object> current = new ArrayList<>();
                for (Map<String, Object> e : expected) {
                    Item item = items.get((String) e.get("key"));
                    current.add(item == null ? Json.of("key", e.get("key"), "value", "", "rev", 0) : item.body());
                }
                answer = Json.of("items", current);
            } else if (leaseMissing) {
                status = 404;
                answer = Json.of();
            } else {
                for (Map<String, Object> p : puts) put((String) p.get("key"), (String) p.get("value"), (Long) p.getOrDefault("lease", 0L));
                deletes.forEach(this::remove);
                answer = Json.of("rev", revision);
            }
        }
        reply(exchange, status, answer);
    }

    private void grant(HttpExchange exchange, Map<String, Object> body) throws IOException {
        long id;
        Lease lease = new Lease();
        lease.ttlMs = ((Number) body.get("ttlMs")).longValue();
        synchronized (this) {
            id = ++nextLease;
            lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMs;
            leases.put(id, lease);
        }
        reply(exchange, 200, Json.of("lease", id, "ttlMs", lease.ttlMs));
    }

    private void keep(HttpExchange exchange, long id) throws IOException {
        Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMs;
        }
        if (lease == null) reply(exchange, 404, Json.of());
        else reply(exchange, 200, Json.of("ttlMs", lease.ttlMs));
    }

    private static void reply(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        closed = true;
        synchronized (this) {
            notifyAll();
        }
        server.stop(0);
    }
}
