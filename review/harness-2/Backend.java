import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service: registers itself in the store and answers requests. */
final class Backend {

	interface Work {

		void run(MiniHttp.Request request, MiniHttp.Conn conn, Backend self) throws Exception;

	}

	private static final AtomicInteger LIVES = new AtomicInteger();

	final String service;

	private final String stage;

	private final Store store;

	private final CaseLog record;

	private final Work work;

	private final MiniHttp http;

	private volatile String id;

	private volatile long born;

	private volatile boolean alive = true;

	private volatile boolean leaving;

	Backend(String service, String stage, Store store, CaseLog record, Work work) throws IOException {
		this.service = service;
		this.stage = stage;
		this.store = store;
		this.record = record;
		this.work = work;
		this.http = new MiniHttp(this::handle);
		beginLife();
		Thread heartbeat = new Thread(this::heartbeat, "heartbeat");
		heartbeat.setDaemon(true);
		heartbeat.start();
	}

	private void beginLife() {
		this.id = "i-%08x".formatted(0x7f000000 + LIVES.incrementAndGet());
		this.born = System.currentTimeMillis();
		this.alive = true;
		register();
	}

	String id() {
		return this.id;
	}

	String address() {
		return this.http.address();
	}

	private void register() {
		this.store.put("keyed.servers", this.id, """
				{"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":64,"state":"%s",\
				"cold_left_ms":0,%s"sequence":%d,"born":%d}""".formatted(this.service, address(), this.leaving ? "draining" : "ready",
				this.stage.isEmpty() ? ""
						: "\"stage\":\"" + this.stage
								+ "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],",
				(System.currentTimeMillis() - this.born) / 1_200, this.born));
	}

	private void heartbeat() {
		try {
			while (!this.leaving) {
				Thread.sleep(1_200);
				if (this.alive) {
					register();
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Leaves: reports that it drains, says so in its answers, and ends a while after its
	 * entry was removed.
	 */
	void leave(long drainMs, long laterMs) {
		this.leaving = true;
		register();
		Thread end = new Thread(() -> {
			try {
				Thread.sleep(drainMs);
				this.alive = false;
				this.store.put("keyed.servers", this.id, "");
				Thread.sleep(laterMs);
				this.http.crash();
			}
			catch (IOException | InterruptedException ex) {
				this.record.line("server " + this.id + " does not end: " + ex);
			}
		}, "leave");
		end.setDaemon(true);
		end.start();
	}

	/** Crashes, and starts again after some seconds with another id. */
	void crash(long downMs) throws IOException {
		this.alive = false;
		String old = this.id;
		this.http.crash();
		this.record.line("server " + old + " crashes");
		Thread later = new Thread(() -> {
			try {
				Thread.sleep(Math.min(downMs, 3_600));
				this.store.put("keyed.servers", old, "");
				Thread.sleep(Math.max(0, downMs - 3_600));
				this.http.restart();
				beginLife();
				this.record.line("server " + old + " is back as " + this.id);
			}
			catch (IOException | InterruptedException ex) {
				this.record.line("server " + old + " does not come back: " + ex);
			}
		}, "restart");
		later.setDaemon(true);
		later.start();
	}

	private void handle(MiniHttp.Request request, MiniHttp.Conn conn) throws Exception {
		String expected = request.header("expect-instance");
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			conn.respond(421, new byte[0], "Instance-Id", this.id, "Attempt-Id", request.header("attempt-id"));
			return;
		}
		if (request.path().equals("/anvilusher/report") && !this.stage.isEmpty()) {
			conn.json(200, "{\"stage\":\"" + this.stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
					+ "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\"kv_used\":0,"
					+ "\"kv_total\":900000,\"kv_handles\":0}");
			return;
		}
		if (request.path().startsWith("/anvilusher/")) {
			conn.json(404, "{}");
			return;
		}
		if (request.path().equals("/health")) {
			conn.respond(200, new byte[0], "Instance-Id", this.id);
			return;
		}
		this.work.run(request, conn, this);
	}

	/** Answers with a body of known length. */
	static void answer(MiniHttp.Request request, MiniHttp.Conn conn, String body) throws IOException {
		conn.respond(200, body.getBytes(java.nio.charset.StandardCharsets.UTF_8), "Attempt-Id",
				request.header("attempt-id"), "Response-Stamp", "3e1b.07", "Server-Load", "1,0,16");
	}

	/** Answers with a stream of two events. */
	static void stream(MiniHttp.Request request, MiniHttp.Conn conn) throws IOException {
		stream(request, conn, "");
	}

	/** Answers with a stream of two events, and says if it is leaving. */
	void streamOrLeave(MiniHttp.Request request, MiniHttp.Conn conn) throws IOException {
		stream(request, conn, this.leaving ? "Server-Leaving: 1\r\n" : "");
	}

	private static void stream(MiniHttp.Request request, MiniHttp.Conn conn, String header) throws IOException {
		StringBuilder body = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: "
				+ request.header("attempt-id")
				+ "\r\nResponse-Stamp: 3e1b.07\r\nWeight-Versions: 1\r\n" + header
				+ "Transfer-Encoding: chunked\r\n\r\n");
		for (int id = 1; id <= 2; id++) {
			String event = "id: " + id + "\ndata: t\n\n";
			body.append(Integer.toHexString(event.length())).append("\r\n").append(event).append("\r\n");
		}
		conn.write(body.append("0\r\n\r\n").toString().getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
	}

}
