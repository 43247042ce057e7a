import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The servers of the model service are replaced again and again, a part of them at a
 * time, while callers send prompts of many conversations. Then the releases end, and many
 * callers come at once.
 */
final class Releases extends ProcessEndCase {

	private static final int ENGINES = 32;

	/** Less than half of the servers, in steps of seven. */
	private static final int REPLACED = 14;

	private static final int STEP = 7;

	private static final long STEP_MS = 1_000;

	private static final long BETWEEN_RELEASES_MS = 300;

	private static final long DRAIN_MS = 2_000;

	private static final long LATER_MS = 1_000;

	private static final int CHANNELS = 40;

	private static final int PARTS = 40;

	private static final long WORK_MS = 40;

	private static final long RELEASES_MS = 50_000;

	private static final int CHATS = 800;

	private static final long CHAT_MS = 8_000;

	private final AtomicBoolean released = new AtomicBoolean();

	private final AtomicInteger number = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger others = new AtomicInteger();

	private final AtomicInteger replaced = new AtomicInteger();

	private Releases(CaseLog log) {
		super(log, 92_000);
	}

	public static void main(String[] args) throws IOException {
		try (CaseLog log = new CaseLog(Path.of(args[1]))) {
			Releases played = new Releases(log);
			int code = played.play(Path.of(args[0]).toAbsolutePath());
			log.line("servers replaced: " + played.replaced + "; prompts answered with 200: " + played.answered
					+ ", otherwise or not: " + played.others);
			log.line("exit code " + code);
			System.exit(code);
		}
	}

	@Override
	int engineCount() {
		return ENGINES;
	}

	@Override
	boolean isBroken() {
		return isTimeoutBroken() || isLostBroken();
	}

	@Override
	void play(GatewayProcess gateway) throws Exception {
		for (int channel = 0; channel < CHANNELS; channel++) {
			start("client", () -> sendPrompts(gateway, this.released));
		}
		pause(3_000);
		long untilMs = System.currentTimeMillis() + RELEASES_MS;
		while (!this.trouble && System.currentTimeMillis() < untilMs) {
			pause(100);
		}
		while (this.trouble && System.currentTimeMillis() < untilMs) {
			for (int count = 0; count < REPLACED; count++) {
				this.engines.add(startEngine());
				this.engines.remove(0).leave(DRAIN_MS, LATER_MS);
				this.replaced.incrementAndGet();
				if (count % STEP == STEP - 1) {
					pause(STEP_MS);
				}
			}
			this.log.line(this.replaced + " servers replaced, " + this.answered + " prompts answered");
			pause(BETWEEN_RELEASES_MS);
		}
		this.released.set(true);
		pause(3_000);
		this.log.line("no more releases; " + CHATS + " callers come at once");
		for (int chat = 0; chat < CHATS; chat++) {
			start("chat", () -> sendPrompts(gateway, this.stopped));
			pause(5);
		}
	}

	private void sendPrompts(GatewayProcess gateway, AtomicBoolean end) {
		while (!end.get() && !this.stopped.get()) {
			try (Client client = new Client(gateway.port, 16_000)) {
				while (!end.get() && !this.stopped.get()) {
					int conversation = this.number.incrementAndGet();
					Map<String, String> headers = headers(nextId());
					headers.put("Model", "m");
					headers.put("Token-Counts", PARTS * 50 + ",2");
					headers.put("Prompt-Prefix",
							IntStream.range(0, PARTS)
								.mapToObj((part) -> "%064x:50".formatted((long) conversation * PARTS + part))
								.collect(Collectors.joining(",")));
					headers.put("Deadline-Ms", "15000");
					Client.Answer answer = client.exchange("POST", "/chat/1", headers, bytes("hello"));
					((answer.status() == 200) ? this.answered : this.others).incrementAndGet();
					pause((long) (1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0"))));
				}
			}
			catch (IOException ex) {
				this.others.incrementAndGet();
				pause(50);
			}
		}
	}

	@Override
	void runPrompt(MiniHttp.Request request, MiniHttp.Conn conn, Backend self) throws Exception {
		Thread.sleep(this.released.get() ? CHAT_MS : WORK_MS);
		self.streamOrLeave(request, conn);
	}

}
