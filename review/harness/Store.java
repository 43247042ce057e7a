import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store (log form) and for its interface for usage reports, as far as a gateway uses them.
 * Partition 0 of each topic only. Groups have one partition; the longest member holds it.
 */
final class Store {

    private final HttpServer server;
    private final Record record;
    private final Map<String, List<byte[]>> topics = new HashMap<>();
    private final Map<String, Long> members = new LinkedHashMap<>();
    private final Map<String, Long> ttlByMember = new HashMap<>();
    private long generation;

    Store(Record record) throws IOException {
        this.record = record;
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        this.server.setExecutor(Executors.newCachedThreadPool(Threads.DAEMON));
        this.server.createContext("/", this::handle);
        this.server.start();
    }

    int port() {
        return this.server.getAddress().getPort();
    }

    /** Writes a record of a keyed topic; the return is the acknowledgement. */
    synchronized void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        topic(topic).add(ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length).put((byte) keyBytes.length)
                .put(keyBytes).put(valueBytes).array());
        notifyAll();
    }

    private List<byte[]> topic(String topic) {
        return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            switch (exchange.getRequestURI().getPath()) {
                case "/anvilusher/log-newest" -> answer(exchange, 200, newest(query.get("topic")));
                case "/anvilusher/log-read" -> answer(exchange, 200, read(query));
                case "/anvilusher/log-append" -> answer(exchange, 200, append(query.get("topic"), body));
                case "/anvilusher/log-join" -> answer(exchange, 200, join(new String(body, StandardCharsets.UTF_8)));
                case "/anvilusher/log-leave" -> answer(exchange, 200, leave(new String(body, StandardCharsets.UTF_8)));
                case "/usage" -> answer(exchange, 200, usage(exchange, new String(body, StandardCharsets.UTF_8)));
                default -> answer(exchange, 404, new byte[0]);
            }
        }
        catch (InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : (text != null ? text : "").split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
    }

    private synchronized byte[] newest(String topic) {
        Map<String, String> items = new LinkedHashMap<>();
        List<byte[]> records = topic(topic);
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] content = records.get(offset);
            String key = new String(content, 1, content[0], StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(content, 1 + content[0], content.length);
            if (value.length == 0) {
                items.remove(key);
            }
            else {
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                        + "\",\"offset\":" + offset + "}");
            }
        }
        return ("{\"items\":[" + String.join(",", items.values()) + "],\"has_more\":false,\"end_offset\":" + records.size()
                + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(Map<String, String> query) throws InterruptedException {
        List<byte[]> records = topic(query.get("topic"));
        int from = Integer.parseInt(query.get("from"));
        long untilNs = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (records.size() <= from && System.nanoTime() < untilNs) {
            wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
        }
        List<byte[]> unread = records.subList(Math.min(from, records.size()), records.size());
        int size = 16 + unread.stream().mapToInt((content) -> 4 + content.length).sum();
        ByteBuffer response = ByteBuffer.allocate(size).putLong(records.size()).putLong(0);
        unread.forEach((content) -> response.putInt(content.length).put(content));
        return response.array();
    }

    private synchronized byte[] append(String topic, byte[] body) {
        int first = topic(topic).size();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        while (buffer.hasRemaining()) {
            byte[] content = new byte[buffer.getInt()];
            buffer.get(content);
            topic(topic).add(content);
        }
        notifyAll();
        return ("{\"offset\":" + first + ",\"end_offset\":" + topic(topic).size() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] join(String body) {
        String member = field(body, "member");
        expire();
        if (!this.members.containsKey(member)) {
            this.generation++;
        }
        this.members.put(member, System.nanoTime());
        this.ttlByMember.put(member, Long.parseLong(field(body, "ttl_ms")));
        boolean holder = this.members.keySet().iterator().next().equals(member);
        return ("{\"generation\":" + this.generation + ",\"parts\":" + (holder ? "[[\"usage\",0,0]]" : "[]") + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void expire() {
        long nowNs = System.nanoTime();
        if (this.members.entrySet()
                .removeIf((entry) -> nowNs - entry.getValue() > this.ttlByMember.get(entry.getKey()) * 1_000_000)) {
            this.generation++;
        }
    }

    private synchronized byte[] leave(String body) {
        if (this.members.remove(field(body, "member")) != null) {
            this.generation++;
        }
        return "{}".getBytes(StandardCharsets.UTF_8);
    }

    private byte[] usage(HttpExchange exchange, String body) {
        this.record.line("platform", "usage report from " + exchange.getRequestHeaders().getFirst("Duty-Holder") + " fence "
                + exchange.getRequestHeaders().getFirst("Fence-Token") + " " + body);
        return "{}".getBytes(StandardCharsets.UTF_8);
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }
}
