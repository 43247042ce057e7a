package io.anvilusher.deployment;

import java.io.IOException;
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
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;

import io.anvilusher.proofs.TestPorts;
import io.anvilusher.standin.EngineStandIn;
import io.anvilusher.standin.PlainStandIn;
import io.anvilusher.standin.PlatformStandIn;
import io.anvilusher.standin.RawStandIn;

/**
 * Starts and controls the product's processes, the stand-ins for backend servers and the
 * stand-in for the platform, all on the loopback interface. Keeps the platform's list of
 * VMs up to date with them.
 */
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

	/** Commands may run at the same time; each needs a file of its own. */
	private final AtomicInteger logFileCount = new AtomicInteger();

	private Deployment(Path directory) throws IOException {
		this.directory = directory;
		this.platform = start("platform", "256m", PlatformStandIn.class.getName());
		this.platform.ports();
	}

	public static Deployment start() throws IOException {
		return new Deployment(Files.createTempDirectory("anvilusher"));
	}

	private JavaProcess start(String name, String heap, String main, String... args) throws IOException {
		Path output = this.directory.resolve(name + "." + this.logFileCount.getAndIncrement() + ".log");
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
	 * Starts an entry that reaches the platform at a given address, such as that of a
	 * proxy. Further settings are JSON fields, each with a comma before it.
	 */
	public JavaProcess startEntry(String name, String dataCentre, String platformAddress, String furtherSettings)
			throws IOException {
		Path settings = this.directory.resolve(name + ".json");
		Files.writeString(settings, """
				{
					"process": "%s", "data_centre": "%s",
					"http_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
					"platform": "%s", "drain_notice_ms": 300%s
				}
				""".formatted(name, dataCentre, platformAddress, furtherSettings));
		JavaProcess entry = start(name, "160m", "io.anvilusher.entry.EntryMain", "serve", "--settings",
				settings.toString());
		register(new Vm(name, dataCentre, entry.ports().get(1), "entry", "", false, entry));
		return entry;
	}

	/**
	 * Starts an engine and its sidecar. The arguments for the engine are the port (0 for
	 * any), whether it checks fencing tokens, the time to decode a token, and the time to
	 * prefill one, both in milliseconds.
	 */
	public JavaProcess startEngine(String server, String dataCentre, String service, String... engineArgs)
			throws IOException {
		String[] args = (engineArgs.length > 0) ? engineArgs : new String[] { "0", "true", "5", "0.01" };
		this.backends.put(server, start(server + "-backend", "96m", EngineStandIn.class.getName(), args));
		return startSidecar(server, dataCentre, service);
	}

	/** Starts a plain service and its sidecar. */
	public JavaProcess startPlainService(String server, String dataCentre, String service, long delayMs)
			throws IOException {
		this.backends.put(server, start(server + "-backend", "96m", PlainStandIn.class.getName(), "0",
				executionsFile().toString(), String.valueOf(delayMs)));
		return startSidecar(server, dataCentre, service);
	}

	/** Starts a service whose answers are chosen byte by byte, and its sidecar. */
	public JavaProcess startRawService(String server, String dataCentre, String service) throws IOException {
		this.backends.put(server, start(server + "-backend", "96m", RawStandIn.class.getName(), "0"));
		return startSidecar(server, dataCentre, service);
	}

	/** Kills an engine, if it still runs, and starts it again on its port. */
	public void restartEngine(String server, String... engineArgsAfterPort) throws IOException {
		JavaProcess old = this.backends.get(server);
		int port = old.ports().get(0);
		old.kill();
		List<String> args = new ArrayList<>(List.of(String.valueOf(port)));
		args.addAll((engineArgsAfterPort.length > 0) ? List.of(engineArgsAfterPort) : List.of("true", "5", "0.01"));
		this.backends.put(server,
				start(server + "-backend", "96m", EngineStandIn.class.getName(), args.toArray(new String[0])));
		this.backends.get(server).ports();
	}

	/** Kills a plain service, if it still runs, and starts it again on its port. */
	public void restartPlainService(String server, long delayMs) throws IOException {
		JavaProcess old = this.backends.get(server);
		int port = old.ports().get(0);
		old.kill();
		this.backends.put(server, start(server + "-backend", "96m", PlainStandIn.class.getName(), String.valueOf(port),
				executionsFile().toString(), String.valueOf(delayMs)));
		this.backends.get(server).ports();
	}

	/** Starts the sidecar of a running backend server. */
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

	private int lockPort(String server) {
		return this.lockPorts.computeIfAbsent(server, (name) -> TestPorts.next());
	}

	/**
	 * Returns the file to which the plain services write one line for each booking that
	 * they execute.
	 */
	public Path executionsFile() {
		return this.directory.resolve("executions.txt");
	}

	/**
	 * Returns the process that is listed for a VM: an entry, or the sidecar of a backend
	 * server.
	 */
	public JavaProcess process(String vm) {
		return this.vms.get(vm).process();
	}

	/** Returns the stand-in process of a backend server. */
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

	/** Marks a VM as leaving in the platform's list. */
	public synchronized void setLeaving(String vm) throws IOException {
		Vm old = this.vms.get(vm);
		this.vms.put(vm,
				new Vm(old.name(), old.dataCentre(), old.port(), old.role(), old.service(), true, old.process()));
		publishVms();
	}

	/**
	 * Adds a VM to the platform's list that this class did not start. Its owner is
	 * stopped with the deployment.
	 */
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

	/**
	 * Sets faults of the platform; the fields of the JSON object are those of
	 * {@link PlatformStandIn}.
	 */
	public void setPlatformFaults(String json) throws IOException {
		post(platformUrl() + "/control/fault", json);
	}

	/**
	 * Runs an operator command against this platform, in a process of its own, and
	 * returns what it printed.
	 */
	public CommandResult runCommand(String... args) throws IOException {
		List<String> all = new ArrayList<>(List.of(args));
		all.addAll(List.of("--platform", platformUrl()));
		return runEntryMain(all.toArray(new String[0]));
	}

	/** Runs the entry's main class with the arguments and returns what it printed. */
	public CommandResult runEntryMain(String... args) throws IOException {
		Path output = this.directory.resolve("command." + this.logFileCount.getAndIncrement() + ".log");
		JavaProcess process = JavaProcess.start(output, "64m", "io.anvilusher.entry.EntryMain", args);
		int code = process.awaitExit();
		await(() -> process.hasEnded(), 5000);
		return new CommandResult(code, Files.readString(output));
	}

	/** Publishes a configuration and returns what the command printed. */
	public String publish(Path configuration) throws IOException {
		CommandResult result = runCommand("config", "publish", "--file", configuration.toString(), "--author", "demo");
		return result.outputOrThrow();
	}

	/** Grants a key and returns it. */
	public String grantKey(String workspace) throws IOException {
		return runCommand("key", "grant", "--workspace", workspace).outputOrThrow().strip();
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

	public JsonNode getJson(String url) throws IOException {
		// A paused process does not respond, so the timeout is short.
		return MAPPER.readTree(send(request(url).timeout(Duration.ofSeconds(1)).GET().build()).body());
	}

	/**
	 * Waits until an entry is ready and exactly the given number of its servers accept
	 * requests.
	 */
	public void awaitServers(String entry, int servers) {
		await(() -> {
			try {
				long acceptingServers = 0;
				for (JsonNode server : getJson(entryAdminUrl(entry) + "/status").path("servers")) {
					acceptingServers += server.path("takes_work").asBoolean() ? 1 : 0;
				}
				return acceptingServers == servers && get(entryAdminUrl(entry) + "/readyz").statusCode() == 200;
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
				throw new IllegalStateException("condition not met within " + timeoutMs + " ms");
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

	/** Exit code of a command, and what it printed to both of its output streams. */
	public record CommandResult(int code, String output) {

		/** Returns the output, or throws if the command failed. */
		public String outputOrThrow() {
			if (this.code != 0) {
				throw new IllegalStateException("Exit code " + this.code + ": " + this.output);
			}
			return this.output;
		}

	}

}
