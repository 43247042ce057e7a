import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: topics with one
 * partition that is used, long reads, the newest record of each key, and groups.
 */
final class Store {

	/** A topic; the oldest records may be dropped, the newest of each key is kept. */
	private static final class Topic {

		final List<byte[]> records = new ArrayList<>();

		final TreeMap<String, byte[]> newest = new TreeMap<>();

		final Map<String, Long> offsets = new LinkedHashMap<>();

		long first;

		long end() {
			return this.first + this.records.size();
		}

	}

	private static final class Member {

		long expiresAtMs;

		long ttlMs;

	}

	private final MiniHttp http;

	private final CaseLog record;

	private final Map<String, Topic> topics = new LinkedHashMap<>();

	private final Map<String, Member> members = new LinkedHashMap<>();

	private long generation;

	private String owner = "";

	Store(CaseLog record) throws IOException {
		this.record = record;
		this.http = new MiniHttp(this::handle);
	}

	String address() {
		return this.http.address();
	}

	synchronized void put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		append(topic, ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length)
			.put((byte) keyBytes.length)
			.put(keyBytes)
			.put(valueBytes)
			.array());
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (key) -> new Topic());
	}

	private synchronized void append(String name, byte[] content) {
		Topic topic = topic(name);
		if (name.startsWith("keyed.")) {
			int keyBytes = Byte.toUnsignedInt(content[0]);
			String key = new String(content, 1, keyBytes, StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyBytes, content.length);
			if (value.length == 0) {
				topic.newest.remove(key);
			}
			else {
				topic.newest.put(key, value);
				topic.offsets.put(key, topic.end());
			}
		}
		topic.records.add(content);
		notifyAll();
	}

	/** Drops all records of all topics; the newest record of each key stays. */
	synchronized void dropHistory() {
		this.topics.values().forEach((topic) -> {
			topic.first = topic.end();
			topic.records.clear();
		});
		this.record.line("store forgets its history");
		notifyAll();
	}

	/** Gives the partition to another member at once, without a request. */
	synchronized void rebalance() {
		String next = this.members.keySet().stream().filter((name) -> !name.equals(this.owner)).findFirst().orElse("");
		if (!next.isEmpty()) {
			this.generation++;
			this.owner = next;
			this.record.line("store deals the partitions anew: generation " + this.generation + ", owner " + next);
		}
	}

	synchronized String owner() {
		return this.owner;
	}

	private void handle(MiniHttp.Request request, MiniHttp.Conn conn) throws Exception {
		switch (request.path()) {
			case "/anvilusher/log-append" -> append(request, conn);
			case "/anvilusher/log-read" -> read(request, conn);
			case "/anvilusher/log-newest" -> newest(request, conn);
			case "/anvilusher/log-join" -> join(request, conn);
			case "/anvilusher/log-leave" -> leave(request, conn);
			default -> conn.json(404, "{}");
		}
	}

	private void append(MiniHttp.Request request, MiniHttp.Conn conn) throws IOException {
		String name = request.query().get("topic");
		if (name.equals("keyed.op") || name.equals("keyed.servers")) {
			conn.json(403, "{}");
			return;
		}
		ByteBuffer body = ByteBuffer.wrap(request.body());
		long offset;
		long end;
		synchronized (this) {
			offset = topic(name).end();
			while (body.hasRemaining()) {
				byte[] content = new byte[body.getInt()];
				body.get(content);
				append(name, content);
				if (name.equals("usage")) {
					this.record.line("usage log " + (topic(name).end() - 1) + ": "
							+ new String(content, StandardCharsets.UTF_8));
				}
			}
			end = topic(name).end();
		}
		conn.json(200, "{\"offset\":" + offset + ",\"end_offset\":" + end + "}");
	}

	private void read(MiniHttp.Request request, MiniHttp.Conn conn) throws Exception {
		long from = request.number("from", 0);
		long untilMs = System.currentTimeMillis() + Math.min(30_000, request.number("wait_ms", 0));
		byte[] body;
		long gone = -1;
		synchronized (this) {
			Topic topic = topic(request.query().get("topic"));
			while (from >= topic.end() && from >= topic.first && System.currentTimeMillis() < untilMs) {
				wait(Math.max(1, untilMs - System.currentTimeMillis()));
			}
			gone = (from < topic.first) ? topic.first : -1;
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.write(ByteBuffer.allocate(16).putLong(topic.end()).putLong(topic.first).array());
			for (long at = Math.max(from, topic.first); at < topic.end() && out.size() < 1024 * 1024; at++) {
				byte[] content = topic.records.get((int) (at - topic.first));
				out.write(ByteBuffer.allocate(4).putInt(content.length).array());
				out.write(content);
			}
			body = out.toByteArray();
		}
		if (gone >= 0) {
			conn.json(410, "{\"first\":" + gone + "}");
		}
		else {
			conn.respond(200, body);
		}
	}

	private void newest(MiniHttp.Request request, MiniHttp.Conn conn) throws IOException {
		StringBuilder items = new StringBuilder();
		long end;
		synchronized (this) {
			Topic topic = topic(request.query().get("topic"));
			String after = request.query().getOrDefault("after", "");
			topic.newest.tailMap(after, after.isEmpty()).forEach((key, value) -> items
				.append(items.isEmpty() ? "" : ",")
				.append("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"offset\":" + topic.offsets.get(key) + "}"));
			end = topic.end();
		}
		conn.json(200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + end + "}");
	}

	private static String text(String json, String field) {
		Matcher matcher = Pattern.compile("\"" + field + "\":\"?([^\",}]*)").matcher(json);
		return matcher.find() ? matcher.group(1) : "";
	}

	private synchronized void expire() {
		long nowMs = System.currentTimeMillis();
		if (this.members.values().removeIf((member) -> member.expiresAtMs < nowMs)) {
			this.generation++;
			deal();
		}
	}

	// The only partition that the members use goes to one that is still there.
	private void deal() {
		if (!this.members.containsKey(this.owner)) {
			this.owner = this.members.keySet().stream().findFirst().orElse("");
			this.record.line("group: generation " + this.generation + ", owner " + this.owner);
		}
	}

	private void join(MiniHttp.Request request, MiniHttp.Conn conn) throws IOException {
		String json = new String(request.body(), StandardCharsets.UTF_8);
		String name = text(json, "member");
		String answer;
		synchronized (this) {
			expire();
			Member member = this.members.get(name);
			if (member == null) {
				member = new Member();
				this.members.put(name, member);
				this.generation++;
			}
			member.ttlMs = Long.parseLong(text(json, "ttl_ms"));
			member.expiresAtMs = System.currentTimeMillis() + member.ttlMs;
			deal();
			String parts = name.equals(this.owner) ? "[[\"usage\",0,0]]" : "[]";
			answer = "{\"generation\":" + this.generation + ",\"ttl_ms\":" + member.ttlMs + ",\"parts\":" + parts + "}";
		}
		conn.json(200, answer);
	}

	private void leave(MiniHttp.Request request, MiniHttp.Conn conn) throws IOException {
		synchronized (this) {
			if (this.members.remove(text(new String(request.body(), StandardCharsets.UTF_8), "member")) != null) {
				this.generation++;
				deal();
			}
		}
		conn.json(200, "{}");
	}

}
