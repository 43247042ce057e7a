package io.anvilusher.deployment;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;

import io.anvilusher.standin.EngineStandIn;
import io.anvilusher.standin.PlainStandIn;
import io.anvilusher.standin.PlatformStandIn;

/** The product's processes and the stand-ins around them, on the loopback interface. */
public final class Deployment implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Path directory;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	private final JavaProcess platform;

	private final Map<String, Vm> vms = new LinkedHashMap<>();

	private final Map<String, JavaProcess> backends = new LinkedHashMap<>();

	private final Map<String, Integer> lockPorts = new LinkedHashMap<>();

	private int logFiles;

	private Deployment(Path directory) throws IOException {
		this.directory = directory;
		this.platform = start("platform", "256m", PlatformStandIn.class.getName());
		this.platform.ports();
	}

	public static Deployment start() throws IOException {
		return new Deployment(Files.createTempDirectory("anvilusher"));
	}

	private JavaProcess start(String name, String heap, String main, String... args) throws IOException {
		Path output = this.directory.resolve(name + "." + this.logFiles++ + ".log");
		return JavaProcess.start(output, heap, main, args);
	}

	public Path directory() {
		return this.directory;
	}

	public JavaProcess platform() {
		return this.platform;
	}

	public String platformUrl() {
		return "http://127.0.0.1:" + this.platform.ports().get(0);
	}

	public JavaProcess startEntry(String name, String dataCentre) throws IOException {
		return startEntry(name, dataCentre, platformUrl(), "");
	}

	/**
	 * Starts an entry that reaches the platform at an address of its own, with further
	 * settings.
	 */
	public JavaProcess startEntry(String name, String dataCentre, String platformAddress, String moreSettings)
			throws IOException {
		Path settings = this.directory.resolve(name + ".json");
		Files.writeString(settings, """
				{
					"process": "%s", "data_centre": "%s",
					"http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
					"platform": "%s", "drain_notice_ms": 300%s
				}
				""".formatted(name, dataCentre, platformAddress, moreSettings));
		JavaProcess entry = start(name, "160m", "io.anvilusher.entry.EntryMain", "serve", "--settings",
				settings.toString());
		register(new Vm(name, dataCentre, entry.ports().get(1), "entry", "", false, entry));
		return entry;
	}

	public JavaProcess startEngine(String server, String dataCentre, String service, String... engine)
			throws IOException {
		String[] args = (engine.length > 0) ? engine : new String[] { "0", "true", "5", "0.01" };
		this.backends.put(server, start(server + "-backend", "96m", EngineStandIn.class.getName(), args));
		return startSidecar(server, dataCentre, service);
	}

	public JavaProcess startPlain(String server, String dataCentre, String service, long delayMs) throws IOException {
		this.backends.put(server, start(server + "-backend", "96m", PlainStandIn.class.getName(), "0",
				executions().toString(), String.valueOf(delayMs)));
		return startSidecar(server, dataCentre, service);
	}

	/** Starts a killed backend server again on its port. */
	public void restartEngine(String server, String... engineAfterPort) throws IOException {
		JavaProcess old = this.backends.get(server);
		int port = old.ports().get(0);
		old.kill();
		List<String> args = new ArrayList<>(List.of(String.valueOf(port)));
		args.addAll((engineAfterPort.length > 0) ? List.of(engineAfterPort) : List.of("true", "5", "0.01"));
		this.backends.put(server,
				start(server + "-backend", "96m", EngineStandIn.class.getName(), args.toArray(new String[0])));
		this.backends.get(server).ports();
	}

	/** Starts a killed plain service again on its port. */
	public void restartPlain(String server, long delayMs) throws IOException {
		JavaProcess old = this.backends.get(server);
		int port = old.ports().get(0);
		old.kill();
		this.backends.put(server, start(server + "-backend", "96m", PlainStandIn.class.getName(), String.valueOf(port),
				executions().toString(), String.valueOf(delayMs)));
		this.backends.get(server).ports();
	}

	public JavaProcess startSidecar(String server, String dataCentre, String service) throws IOException {
		Path settings = this.directory.resolve(server + ".json");
		int lockPort = lockPort(server);
		Files.writeString(settings, """
				{
					"process": "sidecar-%s", "data_centre": "%s", "server": "%s", "service": "%s",
					"backend": "http://127.0.0.1:%d", "lock_address": "127.0.0.1:%d",
					"peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0", "platform": "%s"
				}
				""".formatted(server, dataCentre, server, service, backend(server).ports().get(0), lockPort,
				platformUrl()));
		JavaProcess sidecar = start(server + "-sidecar", "96m", "io.anvilusher.sidecar.SidecarMain", "serve",
				"--settings", settings.toString());
		register(new Vm(server, dataCentre, sidecar.ports().get(0), "backend", service, false, sidecar));
		return sidecar;
	}

	private int lockPort(String server) throws IOException {
		Integer known = this.lockPorts.get(server);
		if (known != null) {
			return known;
		}
		try (ServerSocket socket = new ServerSocket(0)) {
			this.lockPorts.put(server, socket.getLocalPort());
			return socket.getLocalPort();
		}
	}

	public Path executions() {
		return this.directory.resolve("executions.txt");
	}

	public JavaProcess process(String vm) {
		return this.vms.get(vm).process();
	}

	public JavaProcess backend(String server) {
		return this.backends.get(server);
	}

	public String backendUrl(String server) {
		return "http://127.0.0.1:" + backend(server).ports().get(0);
	}

	public String entryUrl(String entry) {
		return "http://127.0.0.1:" + process(entry).ports().get(0);
	}

	public String entryAdminUrl(String entry) {
		return "http://127.0.0.1:" + process(entry).ports().get(2);
	}

	private synchronized void register(Vm vm) throws IOException {
		this.vms.put(vm.name(), vm);
		publishVms();
	}

	public synchronized void setLeaving(String vm) throws IOException {
		Vm old = this.vms.get(vm);
		this.vms.put(vm,
				new Vm(old.name(), old.dataCentre(), old.port(), old.role(), old.service(), true, old.process()));
		publishVms();
	}

	/** Lists a VM whose process the caller runs itself. */
	public synchronized void register(String name, String dataCentre, int port, String role, String service,
			JavaProcess owner) throws IOException {
		register(new Vm(name, dataCentre, port, role, service, false, owner));
	}

	public synchronized void unregister(String vm) throws IOException {
		this.vms.remove(vm);
		publishVms();
	}

	private void publishVms() throws IOException {
		ArrayNode list = MAPPER.createArrayNode();
		this.vms.values()
			.forEach((vm) -> list.addObject()
				.put("vm", vm.name())
				.put("data_centre", vm.dataCentre())
				.put("address", "127.0.0.1:" + vm.port())
				.put("role", vm.role())
				.put("service", vm.service())
				.put("leaving", vm.leaving()));
		post(platformUrl() + "/control/vms", list.toString());
	}

	public void platformFault(String json) throws IOException {
		post(platformUrl() + "/control/fault", json);
	}

	/** Runs an operator command in a process of its own and returns what it printed. */
	public CommandResult command(String... args) throws IOException {
		List<String> all = new ArrayList<>(List.of(args));
		all.addAll(List.of("--platform", platformUrl()));
		return run(all.toArray(new String[0]));
	}

	/** Runs the entry's binary and returns what it printed. */
	public CommandResult run(String... args) throws IOException {
		Path output = this.directory.resolve("command." + this.logFiles++ + ".log");
		JavaProcess process = JavaProcess.start(output, "64m", "io.anvilusher.entry.EntryMain", args);
		int code = process.awaitExit();
		await(() -> process.ended(), 5000);
		return new CommandResult(code, Files.readString(output));
	}

	public String publish(Path configuration) throws IOException {
		CommandResult result = command("config", "publish", "--file", configuration.toString(), "--author", "demo");
		return result.orThrow();
	}

	public String grant(String workspace) throws IOException {
		return command("key", "grant", "--workspace", workspace).orThrow().strip();
	}

	public HttpResponse<String> post(String url, String body, String... headers) throws IOException {
		return send(request(url, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build());
	}

	public HttpResponse<String> get(String url, String... headers) throws IOException {
		return send(request(url, headers).GET().build());
	}

	public static HttpRequest.Builder request(String url, String... headers) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(90));
		if (headers.length > 0) {
			builder.headers(headers);
		}
		return builder;
	}

	public HttpClient client() {
		return this.client;
	}

	private HttpResponse<String> send(HttpRequest request) throws IOException {
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	public JsonNode json(String url) throws IOException {
		// A paused process gives no answer.
		return MAPPER.readTree(send(request(url).timeout(Duration.ofSeconds(1)).GET().build()).body());
	}

	/**
	 * Waits until an entry is ready and has the given number of servers that take work.
	 */
	public void awaitServers(String entry, int servers) {
		await(() -> {
			try {
				long working = 0;
				for (JsonNode server : json(entryAdminUrl(entry) + "/status").path("servers")) {
					working += server.path("takes_work").asBoolean() ? 1 : 0;
				}
				return working == servers && get(entryAdminUrl(entry) + "/readyz").statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}, 20_000);
	}

	public static void await(BooleanSupplier condition, long timeoutMs) {
		long untilNanos = System.nanoTime() + timeoutMs * 1_000_000;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > untilNanos) {
				throw new IllegalStateException("The condition did not come about within " + timeoutMs + " ms");
			}
			try {
				TimeUnit.MILLISECONDS.sleep(10);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	@Override
	public void close() {
		this.vms.values().forEach((vm) -> vm.process().close());
		this.backends.values().forEach(JavaProcess::close);
		this.platform.close();
	}

	private record Vm(String name, String dataCentre, int port, String role, String service, boolean leaving,
			JavaProcess process) {

	}

	/** What a command printed, and its exit code. */
	public record CommandResult(int code, String output) {

		public String orThrow() {
			if (this.code != 0) {
				throw new IllegalStateException("Exit code " + this.code + ": " + this.output);
			}
			return this.output;
		}

	}

}
