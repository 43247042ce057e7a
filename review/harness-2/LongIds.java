import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends prompts one after the other on a few channels. The id of a part of each
 * prompt is as long as the limit of the head allows.
 */
final class LongIds extends ProcessEndCase {

	private static final int PROMPTS = 12_000;

	private static final int CLIENT_CHANNELS = 8;

	/** The head stays below the 16,384 bytes of the manifest's limit. */
	private static final int ID_DIGITS = 15_000;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger run = new AtomicInteger();

	private final AtomicInteger succeeded = new AtomicInteger();

	private long sentAllAtMs;

	private LongIds(CaseLog log) {
		super(log, 75_000);
	}

	public static void main(String[] args) throws IOException {
		try (CaseLog log = new CaseLog(Path.of(args[1]))) {
			LongIds played = new LongIds(log);
			int code = played.play(Path.of(args[0]).toAbsolutePath());
			log.line("prompts sent: " + played.sent + ", run: " + played.run + ", answered with 200: "
					+ played.succeeded);
			log.line("exit code " + code);
			System.exit(code);
		}
	}

	@Override
	boolean isOver() {
		if (this.sent.get() > PROMPTS && this.sentAllAtMs == 0) {
			this.sentAllAtMs = System.currentTimeMillis();
		}
		return this.sentAllAtMs > 0 && System.currentTimeMillis() - this.sentAllAtMs > 5_000;
	}

	@Override
	boolean isBroken() {
		return isLostBroken();
	}

	@Override
	void play(GatewayProcess gateway) {
		for (int channel = 0; channel < CLIENT_CHANNELS; channel++) {
			start("client", () -> sendPrompts(gateway));
		}
	}

	private void sendPrompts(GatewayProcess gateway) {
		String padding = this.trouble ? "0".repeat(ID_DIGITS - 8) : "";
		while (!this.stopped.get() && this.sent.get() < PROMPTS) {
			try (Client client = new Client(gateway.port, 6_000)) {
				while (!this.stopped.get()) {
					int number = this.sent.incrementAndGet();
					if (number > PROMPTS) {
						return;
					}
					Map<String, String> headers = headers(nextId());
					headers.put("Model", "m");
					headers.put("Token-Counts", "1120,2");
					headers.put("Prompt-Prefix", padding + "%08x:1100,%08x:20".formatted(0x10000000 + number, number));
					if (client.exchange("POST", "/chat/1", headers, bytes("hello")).status() == 200) {
						this.succeeded.incrementAndGet();
					}
				}
			}
			catch (IOException ex) {
				pause(50);
			}
		}
	}

	@Override
	void runPrompt(MiniHttp.Request request, MiniHttp.Conn conn, Backend self) throws Exception {
		this.run.incrementAndGet();
		Backend.stream(request, conn);
	}

}
