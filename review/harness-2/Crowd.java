import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients each sends one request after the other and waits for each stream,
 * which takes some seconds; it comes back when a refusal says so. The requests are legal
 * in size, but consist of very many short fields: parts of the prompt, or parameters of
 * the path.
 */
final class Crowd extends ProcessEndCase {

	private static final int CLIENTS = 400;

	/** Fewer than Undertow's limit of 1,000 parameters. */
	private static final int PATH_PARAMETERS = 990;

	private static final int FEW = 3;

	/** The head stays below the 16,384 bytes of the manifest's limit. */
	private static final int PREFIX_BYTES = 15_800;

	private static final long STREAM_MS = 14_000;

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger run = new AtomicInteger();

	private final AtomicInteger succeeded = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final boolean inPath;

	private Crowd(CaseLog log, boolean inPath) {
		super(log, 45_000);
		this.inPath = inPath;
	}

	public static void main(String[] args) throws IOException {
		try (CaseLog log = new CaseLog(Path.of(args[1]))) {
			Crowd played = new Crowd(log, args[2].equals("path"));
			int code = played.play(Path.of(args[0]).toAbsolutePath());
			log.line("requests of the crowd sent: " + played.sent + ", run: " + played.run + ", answered with 200: "
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
		String fields = this.inPath ? pathParameters() : promptParts();
		this.log.line(CLIENTS + " clients; the fields of a request have " + fields.length() + " bytes: "
				+ fields.substring(0, Math.min(40, fields.length())) + " ...");
		for (int client = 0; client < CLIENTS; client++) {
			start("client", () -> sendRequests(gateway, fields));
			pause(25);
		}
	}

	private String promptParts() {
		StringBuilder parts = new StringBuilder("0:0");
		for (int part = 1; this.trouble ? parts.length() < PREFIX_BYTES : part < FEW; part++) {
			parts.append(",").append(Integer.toHexString(part)).append(":0");
		}
		return parts.toString();
	}

	private String pathParameters() {
		StringBuilder parameters = new StringBuilder();
		for (int parameter = 0; parameter < (this.trouble ? PATH_PARAMETERS : FEW); parameter++) {
			parameters.append(";").append(Integer.toString(parameter, Character.MAX_RADIX)).append("=");
		}
		return parameters.toString();
	}

	private void sendRequests(GatewayProcess gateway, String fields) {
		while (!this.stopped.get()) {
			Map<String, String> headers = headers(nextId());
			headers.put("Deadline-Ms", "15000");
			if (!this.inPath) {
				headers.put("Model", "m");
				headers.put("Token-Counts", "200,90");
				headers.put("Prompt-Prefix", fields);
			}
			long retryAfterMs = 100;
			try (Client client = new Client(gateway.port, 20_000)) {
				this.sent.incrementAndGet();
				Client.Answer answer = client.exchange("POST", "/chat/1" + (this.inPath ? fields : ""), headers, bytes("hello"));
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
