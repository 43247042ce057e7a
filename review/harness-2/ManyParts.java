import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Two servers crash one after the other while they run a request whose prompt has many
 * parts. Its caller sends it again, and a third server answers it.
 */
final class ManyParts extends ProcessEndCase {

	private static final int PARTS = 200;

	private static final int CRASHES = 2;

	private static final long DOWN_MS = 4_500;

	private static final int RETRIES = 3;

	private final AtomicInteger crashes = new AtomicInteger();

	private ManyParts(CaseLog log) {
		super(log, 60_000);
	}

	public static void main(String[] args) throws Exception {
		try (CaseLog log = new CaseLog(Path.of(args[1]))) {
			int code = new ManyParts(log).run(Path.of(args[0]).toAbsolutePath());
			log.line("exit code " + code);
			System.exit(code);
		}
	}

	@Override
	boolean isBroken() {
		return isLostBroken();
	}

	@Override
	void play(GatewayProcess gateway) throws Exception {
		String prefix = IntStream.range(0, PARTS)
			.mapToObj((part) -> "%08x:20".formatted(0x5c1e0000 + part))
			.collect(Collectors.joining(","));
		for (int attempt = 0; attempt <= RETRIES; attempt++) {
			Map<String, String> headers = headers(nextId());
			headers.put("Model", "m");
			headers.put("Token-Counts", PARTS * 20 + ",2");
			headers.put("Prompt-Prefix", prefix);
			this.log.line("prompt " + headers.get("Attempt-Id") + " is sent, Prompt-Prefix of " + prefix.length()
					+ " bytes");
			try (Client client = new Client(gateway.port, 6_000)) {
				Client.Answer answer = client.exchange("POST", "/chat/1", headers, bytes("hello"));
				this.log.line("prompt " + headers.get("Attempt-Id") + " is answered with " + answer.status());
				if (answer.status() == 200) {
					return;
				}
			}
			catch (IOException ex) {
				this.log.line("prompt " + headers.get("Attempt-Id") + ": " + ex.getMessage());
			}
			pause(1_000);
		}
	}

	@Override
	void runPrompt(MiniHttp.Request request, MiniHttp.Conn conn, Backend self) throws Exception {
		this.log.line("server " + self.id() + " runs prompt " + request.header("attempt-id"));
		if (this.trouble && this.crashes.getAndIncrement() < CRASHES) {
			self.crash(DOWN_MS);
			return;
		}
		Backend.stream(request, conn);
	}

}
