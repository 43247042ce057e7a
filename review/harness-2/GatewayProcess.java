import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway, started with the command of the deploy file. */
final class GatewayProcess {

	final String name;

	final int port = freePort();

	private final int readyPort = freePort();

	private final Path settings;

	private final Path log;

	private final Path root;

	private Process process;

	GatewayProcess(String name, Path root, Path folder, String store, String cloud) throws IOException {
		this.name = name;
		this.root = root;
		this.settings = folder.resolve(name + ".json");
		this.log = folder.resolve(name + ".log");
		Files.writeString(this.settings, """
				{"process":"%s","dataCentre":"zone-a","callerAddress":"127.0.0.1:%d","readyAddress":"127.0.0.1:%d",
				"metricsAddress":"127.0.0.1:%d","peerAddress":"127.0.0.1:%d","processorShare":0.57,"processorCount":1,
				"store":"http://%s","duties":"http://%s","graceS":8,"retryRatio":0.2,"retryWindowS":10,
				"usageWindowS":5,"usageLateS":10,"leaseMs":3000,"drainMs":2000,"maxDescriptors":4100,"catchUpS":4}
				""".formatted(name, this.port, this.readyPort, freePort(), freePort(), store, cloud));
	}

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	void start() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(this.root.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run line");
		}
		ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
		builder.directory(this.root.toFile()).redirectErrorStream(true).redirectOutput(this.log.toFile());
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("ANVILUSHER_SETTINGS", this.settings.toString());
		this.process = builder.start();
	}

	boolean awaitReady(long timeoutMs) throws InterruptedException {
		long untilMs = System.currentTimeMillis() + timeoutMs;
		while (System.currentTimeMillis() < untilMs) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://127.0.0.1:" + this.readyPort + "/anvilusher/ready")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(1_000);
			connection.setReadTimeout(1_000);
			return connection.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	Process process() {
		return this.process;
	}

	String log() throws IOException {
		return Files.readString(this.log);
	}

	void killNow() {
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	void kill() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
	}

}
