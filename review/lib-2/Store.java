package rig2;

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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * A sound stand-in of the platform's metadata store: linearizable, one revision counter, leases, watches by long polling, all
 * history kept.
 */
public final class Store {
    public interface View {
        /** The value of an entry as a process behind this view gets it. */
        byte[] of(String key, byte[] value);
    }

    private static final class Item {
        byte[] value;
        long rev;
        long createRev;
        long lease;
    }

    private static final class Event {
        String key;
        byte[] value;
        long rev;
        long createRev;
        long lease;
        boolean isRemoved;
    }

    private static final class Lease {
        long ttlMs;
        long endsAtMs;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long nextLease = 100;
    private final List<HttpServer> servers = new ArrayList<>();

    public Store() {
        Thread expiry = new Thread(() -> {
            while (true) {
                Rig.sleep(50);
                expire();
            }
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Listens on a free loopback port; returns it. Several listeners may have different views. */
    public int listen(View view) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> handle(exchange, view));
        server.start();
        servers.add(server);
        return server.getAddress().getPort();
    }

    public void close() {
        servers.forEach(server -> server.stop(0));
    }

    private synchronized void expire() {
        long now = Rig.nowMs();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, lease) -> {
            if (lease.endsAtMs < now) ended.add(id);
        });
        for (long id : ended) endLease(id);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.lease == id) keys.add(key);
        });
        if (keys.isEmpty()) return;
        revision++;
        for (String key : keys) remove(key);
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) == null) return;
        Event event = new Event();
        event.key = key;
        event.rev = revision;
        event.isRemoved = true;
        events.add(event);
    }

    private void write(String key, byte[] value, long lease) {
        Item item = items.computeIfAbsent(key, k -> {
            Item created = new Item();
            created.createRev = revision;
            return created;
        });
        item.value = value;
        item.rev = revision;
        item.lease = lease;
        Event event = new Event();
        event.key = key;
        event.value = value;
        event.rev = revision;
        event.createRev = item.createRev;
        event.lease = lease;
        events.add(event);
    }

    /** Writes of the operator and of backend servers. */
    public synchronized void put(String key, String value) {
        revision++;
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    public synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    public synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
    }

    private void handle(HttpExchange exchange, View view) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String[] answer = answer(exchange.getRequestMethod(), path, query, body, view);
            byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(Integer.parseInt(answer[0]), bytes.length == 0 ? -1 : bytes.length);
            if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        } catch (RuntimeException e) {
            Rig.log("store: " + e);
            throw e;
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> map = new HashMap<>();
        if (raw == null) return map;
        for (String part : raw.split("&")) {
            int eq = part.indexOf('=');
            if (eq > 0) map.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return map;
    }

    private String[] answer(String method, String path, Map<String, String> query, String body, View view) {
        if (path.equals("/lavendertrail/kv-watch")) return watch(query, view);
        synchronized (this) {
            if (path.equals("/lavendertrail/kv-key")) {
                Item item = items.get(query.get("key"));
                if (item == null) return reply(404, Map.of("storeRevision", revision));
                Map<String, Object> found = itemBody(query.get("key"), item.value, item.rev, item.createRev, item.lease, view);
                found.put("storeRevision", revision);
                return reply(200, found);
            }
            if (path.equals("/lavendertrail/kv-range")) return range(query, view);
            if (path.equals("/lavendertrail/kv-txn")) return transact(Json.object(body), view);
            if (path.equals("/lavendertrail/kv-lease")) {
                Lease lease = new Lease();
                lease.ttlMs = ((Number) Json.object(body).get("ttlMs")).longValue();
                lease.endsAtMs = Rig.nowMs() + lease.ttlMs;
                long id = nextLease++;
                leases.put(id, lease);
                return reply(200, Map.of("lease", id, "ttlMs", lease.ttlMs));
            }
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            Lease lease = leases.get(id);
            if (lease == null) return reply(404, Map.of());
            if (path.startsWith("/lavendertrail/kv-keep/")) lease.endsAtMs = Rig.nowMs() + lease.ttlMs;
            if (path.startsWith("/lavendertrail/kv-lease-end/")) endLease(id);
            return reply(200, Map.of("ttlMs", lease.ttlMs));
        }
    }

    private String[] range(Map<String, String> query, View view) {
        List<Object> found = new ArrayList<>();
        boolean isTruncated = false;
        String after = query.getOrDefault("after", "");
        for (Map.Entry<String, Item> entry : items.entrySet()) {
            if (!entry.getKey().startsWith(query.getOrDefault("prefix", "")) || entry.getKey().compareTo(after) <= 0) continue;
            if (found.size() >= 500) {
                isTruncated = true;
                break;
            }
            Item item = entry.getValue();
            found.add(itemBody(entry.getKey(), item.value, item.rev, item.createRev, item.lease, view));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("items", found);
        body.put("truncated", isTruncated);
        body.put("storeRevision", revision);
        return reply(200, body);
    }

    @SuppressWarnings("unchecked")
    private String[] transact(Map<String, Object> body, View view) {
        List<Object> conditions = (List<Object>) body.getOrDefault("expectRev", List.of());
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            String key = (String) condition.get("key");
            Item item = items.get(key);
            long rev = item == null ? 0 : item.rev;
            if (rev != ((Number) condition.get("rev")).longValue()) holds = false;
            if (item != null) current.add(itemBody(key, item.value, item.rev, item.createRev, item.lease, view));
        }
        if (!holds) return reply(412, Map.of("items", current));
        List<Object> puts = (List<Object>) body.getOrDefault("put", List.of());
        for (Object row : puts) {
            Number lease = (Number) ((Map<String, Object>) row).getOrDefault("lease", 0L);
            if (lease.longValue() != 0 && !leases.containsKey(lease.longValue())) return reply(404, Map.of());
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            Number lease = (Number) put.getOrDefault("lease", 0L);
            write((String) put.get("key"), Base64.getDecoder().decode((String) put.get("value")), lease.longValue());
        }
        for (Object key : (List<Object>) body.getOrDefault("delete", List.of())) remove((String) key);
        notifyAll();
        return reply(200, Map.of("rev", revision));
    }

    private String[] watch(Map<String, String> query, View view) {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long endsAtMs = Rig.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        synchronized (this) {
            while (true) {
                List<Object> found = new ArrayList<>();
                for (Event event : events) {
                    if (event.rev <= after || !event.key.startsWith(prefix)) continue;
                    if (event.isRemoved) {
                        found.add(Map.of("key", event.key, "rev", event.rev, "removed", true));
                    } else {
                        found.add(itemBody(event.key, event.value, event.rev, event.createRev, event.lease, view));
                    }
                }
                long leftMs = endsAtMs - Rig.nowMs();
                if (!found.isEmpty() || leftMs <= 0) {
                    Map<String, Object> body = new LinkedHashMap<>();
                    body.put("events", found);
                    body.put("storeRevision", revision);
                    return reply(200, body);
                }
                try {
                    wait(leftMs);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private static Map<String, Object> itemBody(String key, byte[] value, long rev, long createRev, long lease, View view) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("key", key);
        body.put("value", Base64.getEncoder().encodeToString(view.of(key, value)));
        body.put("rev", rev);
        body.put("createRev", createRev);
        body.put("lease", lease);
        return body;
    }

    private static String[] reply(int status, Map<String, ?> body) {
        return new String[] {Integer.toString(status), Json.write(body)};
    }
}
