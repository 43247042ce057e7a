import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients each sends one prompt after the other and waits for each stream, which takes some
 * seconds; it comes back when a refusal says so. The prompts consist of as many short parts as the limit of the head allows.
 */
final class CrowdOfParts extends ProcessEndCase {

	private static final int CLIENTS = 400;

	/** The head stays below the 16,384 bytes of the manifest's limit. */
	private static final int PREFIX_BYTES = 15_800;

	private static final long STREAM_MS = 14_000;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger run = new AtomicInteger();

	private final AtomicInteger succeeded = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private CrowdOfParts(CaseLog log) {
		super(log, 45_000);
	}

	public static void main(String[] args) throws Exception {
		try (CaseLog log = new CaseLog(Path.of(args[1]))) {
			CrowdOfParts played = new CrowdOfParts(log);
			int code = played.run(Path.of(args[0]).toAbsolutePath());
			log.line("prompts sent: " + played.sent + ", run: " + played.run + ", answered with 200: "
					+ played.succeeded + ", refused: " + played.refused + ", without an answer: " + played.failed);
			log.line("exit code " + code);
			System.exit(code);
		}
	}

	@Override
	boolean isBroken() {
		return isTimeoutBroken();
	}

	@Override
	void play(GatewayProcess gateway) {
		StringBuilder prefix = new StringBuilder();
		int limit = this.trouble ? PREFIX_BYTES : 20;
		int parts = 0;
		while (prefix.length() < limit) {
			prefix.append(prefix.isEmpty() ? "" : ",").append(Integer.toHexString(parts++)).append(":0");
		}
		this.log.line(CLIENTS + " prompts of " + parts + " parts, Prompt-Prefix of " + prefix.length() + " bytes");
		for (int client = 0; client < CLIENTS; client++) {
			start("client", () -> sendPrompts(gateway, prefix.toString()));
			pause(25);
		}
	}

	private void sendPrompts(GatewayProcess gateway, String prefix) {
		while (!this.stopped.get()) {
			Map<String, String> headers = headers(nextId());
			headers.put("Deadline-Ms", "15000");
			headers.put("Model", "m");
			headers.put("Token-Counts", "200,90");
			headers.put("Prompt-Prefix", prefix);
			long retryAfterMs = 100;
			try (Client client = new Client(gateway.port, 20_000)) {
				this.sent.incrementAndGet();
				Client.Answer answer = client.exchange("POST", "/chat/1", headers, bytes("hello"));
				(answer.status() == 200 ? this.succeeded : this.refused).incrementAndGet();
				retryAfterMs = (long) (1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.1")));
			}
			catch (IOException ex) {
				this.failed.incrementAndGet();
			}
			pause(retryAfterMs);
		}
	}

	@Override
	void runPrompt(MiniHttp.Request request, MiniHttp.Conn conn, Backend self) throws Exception {
		this.run.incrementAndGet();
		Thread.sleep(STREAM_MS);
		Backend.stream(request, conn);
	}

}
