package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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

/** A stand-in of the platform's metadata store: items, pages, watches, transactions and leases. All calls are linearizable. */
final class Store implements AutoCloseable {
    private static final class Item {
        String key;
        String value;
        long rev;
        long createRev;
        long lease;
        boolean removed;

        String json() {
            if (removed) return "{\"key\":" + Json.quote(key) + ",\"rev\":" + rev + ",\"removed\":true}";
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"rev\":" + rev + ",\"createRev\":" + createRev
                + ",\"lease\":" + lease + "}";
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 10;
    private long nextLease = 1000;
    private volatile boolean closed;
    private final List<Door> doors = new ArrayList<>();
    private final Door mainDoor;

    /** One address of the store. Through a door that is busy, the store turns away its callers, as told by 503: nothing was done. */
    final class Door {
        private final HttpServer server;
        volatile boolean isBusy;

        private Door(String ip) throws IOException {
            server = HttpServer.create(new InetSocketAddress(ip, 0), 200);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task, "store");
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", exchange -> handle(exchange, this));
            server.start();
        }

        String address() {
            return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
        }
    }

    Door open(String ip) throws IOException {
        Door door = new Door(ip);
        doors.add(door);
        return door;
    }

    Store(String ip) throws IOException {
        mainDoor = open(ip);
        Thread expiry = new Thread(this::expireLeases, "store-leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return mainDoor.address();
    }

    synchronized long write(String key, String value) {
        return put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized String read(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        Item gone = new Item();
        gone.key = key;
        gone.rev = ++revision;
        gone.removed = true;
        history.add(gone);
        notifyAll();
    }

    private long put(String key, String value, long lease) {
        Item item = new Item();
        item.key = key;
        item.value = value;
        item.rev = ++revision;
        item.createRev = items.containsKey(key) ? items.get(key).createRev : revision;
        item.lease = lease;
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    private void expireLeases() {
        try {
            while (!closed) {
                Thread.sleep(50);
                synchronized (this) {
                    List<Long> ended = new ArrayList<>();
                    leases.forEach((id, state) -> {
                        if (System.nanoTime() > state[1]) ended.add(id);
                    });
                    ended.forEach(this::endLease);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void endLease(long id) {
        if (leases.remove(id) == null) return;
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease == id) keys.add(item.key);
        });
        keys.forEach(this::remove);
    }

    private void handle(HttpExchange exchange, Door door) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int split = part.indexOf('=');
                query.put(part.substring(0, split), URLDecoder.decode(part.substring(split + 1), StandardCharsets.UTF_8));
            }
        }
        try {
            Object[] busy = new Object[] {503, "{}"};
            Object[] reply = door.isBusy ? busy : respond(exchange.getRequestMethod(), path, query, body);
            // A watch that waits is cut when the store begins to turn the machine away.
            if (door.isBusy && path.endsWith("kv-watch")) reply = busy;
            byte[] bytes = ((String) reply[1]).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders((Integer) reply[0], bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException | RuntimeException e) {
            // The caller has gone.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private Object[] respond(String method, String path, Map<String, String> query, String body) throws InterruptedException {
        String call = path.substring("/lavendertrail/".length());
        if (call.equals("kv-key")) return item(query.get("key"));
        if (call.equals("kv-range")) return range(query);
        if (call.equals("kv-watch")) return watch(query);
        if (call.equals("kv-txn")) return transact(Json.object(body));
        if (call.equals("kv-lease")) return grant(((Double) Json.object(body).get("ttlMs")).longValue());
        if (call.startsWith("kv-keep/")) return keep(Long.parseLong(call.substring("kv-keep/".length())));
        if (call.startsWith("kv-lease-end/")) {
            endLease(Long.parseLong(call.substring("kv-lease-end/".length())));
            return new Object[] {200, "{}"};
        }
        return new Object[] {404, "{}"};
    }

    private synchronized Object[] item(String key) {
        Item item = items.get(key);
        if (item == null) return new Object[] {404, "{\"storeRevision\":" + revision + "}"};
        String json = item.json();
        return new Object[] {200, json.substring(0, json.length() - 1) + ",\"storeRevision\":" + revision + "}"};
    }

    private synchronized Object[] range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.get("after");
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key.startsWith(prefix) && (after == null || item.key.compareTo(after) > 0)) found.add(item.json());
        }
        return new Object[] {200, "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"storeRevision\":" + revision + "}"};
    }

    private synchronized Object[] watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item item : history) if (item.rev > after && item.key.startsWith(prefix)) events.add(item.json());
            long leftMillis = (until - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0 || closed) {
                return new Object[] {200, "{\"events\":[" + String.join(",", events) + "],\"storeRevision\":" + revision + "}"};
            }
            wait(leftMillis);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transact(Map<String, Object> body) {
        List<Object> conditions = (List<Object>) body.getOrDefault("expectRev", List.of());
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            long expected = ((Double) condition.get("rev")).longValue();
            if ((item == null ? 0 : item.rev) != expected) holds = false;
            if (item != null) current.add(item.json());
        }
        if (!holds) return new Object[] {412, "{\"items\":[" + String.join(",", current) + "]}"};
        for (Object row : (List<Object>) body.getOrDefault("put", List.of())) {
            long lease = ((Double) ((Map<String, Object>) row).getOrDefault("lease", 0.0)).longValue();
            if (lease != 0 && !leases.containsKey(lease)) return new Object[] {404, "{}"};
        }
        for (Object row : (List<Object>) body.getOrDefault("put", List.of())) {
            Map<String, Object> put = (Map<String, Object>) row;
            put((String) put.get("key"), (String) put.get("value"), ((Double) put.getOrDefault("lease", 0.0)).longValue());
        }
        for (Object key : (List<Object>) body.getOrDefault("delete", List.of())) remove((String) key);
        return new Object[] {200, "{\"rev\":" + revision + "}"};
    }

    private synchronized Object[] grant(long ttlMillis) {
        long id = ++nextLease;
        leases.put(id, new long[] {ttlMillis, System.nanoTime() + ttlMillis * 1_000_000});
        return new Object[] {200, "{\"lease\":" + id + ",\"ttlMs\":" + ttlMillis + "}"};
    }

    private synchronized Object[] keep(long id) {
        long[] state = leases.get(id);
        if (state == null) return new Object[] {404, "{}"};
        state[1] = System.nanoTime() + state[0] * 1_000_000;
        return new Object[] {200, "{\"ttlMs\":" + state[0] + "}"};
    }

    @Override
    public void close() {
        closed = true;
        synchronized (this) {
            notifyAll();
        }
        doors.forEach(door -> door.server.stop(0));
    }
}
