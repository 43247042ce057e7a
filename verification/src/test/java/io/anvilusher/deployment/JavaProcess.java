package io.anvilusher.deployment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A Java process whose output is kept in a file and read for the ports it listens on. */
public final class JavaProcess implements AutoCloseable {

	/** Flags of processes that live for a short time. */
	private static final String QUICK_START = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=64m";

	private static final Pattern READY = Pattern.compile("ready port=(\\d+)");

	private static final Pattern ENTRY_READY = Pattern
		.compile("callers on port (\\d+), for peers on port (\\d+), admin on port (\\d+)");

	private static final Pattern SIDECAR_READY = Pattern.compile("listens on port (\\d+), admin on port (\\d+)");

	private final Process process;

	private final CompletableFuture<List<Integer>> ports = new CompletableFuture<>();

	private volatile boolean outputRead;

	private JavaProcess(Process process) {
		this.process = process;
	}

	public static JavaProcess start(Path output, String heap, Class<?> main, String... args) throws IOException {
		return start(output, heap, main.getName(), args);
	}

	public static JavaProcess start(Path output, String heap, String main, String... args) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(ProcessHandle.current().info().command().orElse("java"), "-Xmx" + heap, "-Xss512k"));
		command.addAll(List.of(System.getProperty("anvilusher.jvm", QUICK_START).split(" ")));
		command.addAll(List.of("-cp", classPath(), main));
		command.addAll(List.of(args));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.redirectErrorStream(true);
		JavaProcess started = new JavaProcess(builder.start());
		Thread reader = new Thread(() -> started.read(output), "output of " + main);
		reader.setDaemon(true);
		reader.start();
		return started;
	}

	private static String classPath() {
		return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
	}

	private void read(Path output) {
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8));
				var writer = Files.newBufferedWriter(output)) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				writer.write(line + "\n");
				writer.flush();
				findPorts(line);
			}
		}
		catch (IOException ex) {
			this.ports.completeExceptionally(ex);
		}
		this.outputRead = true;
		this.ports.completeExceptionally(new IOException("The process ended; see " + output));
	}

	private void findPorts(String line) {
		for (Pattern pattern : List.of(READY, ENTRY_READY, SIDECAR_READY)) {
			Matcher matcher = pattern.matcher(line);
			if (matcher.find()) {
				List<Integer> found = new ArrayList<>();
				for (int group = 1; group <= matcher.groupCount(); group++) {
					found.add(Integer.parseInt(matcher.group(group)));
				}
				this.ports.complete(found);
				return;
			}
		}
	}

	/** Ports in the order in which the process tells them. */
	public List<Integer> ports() {
		try {
			return this.ports.get(30, TimeUnit.SECONDS);
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("The process did not become ready", ex);
		}
	}

	public long pid() {
		return this.process.pid();
	}

	public boolean isAlive() {
		return this.process.isAlive();
	}

	/** Whether the process has ended and its output was read whole. */
	public boolean ended() {
		return !isAlive() && this.outputRead;
	}

	/** SIGTERM. */
	public void terminate() throws IOException {
		signal("-TERM");
	}

	/** SIGKILL. */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	public int awaitExit() {
		try {
			if (!this.process.waitFor(60, TimeUnit.SECONDS)) {
				throw new IllegalStateException("The process did not end");
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** SIGSTOP. */
	public void pause() throws IOException {
		signal("-STOP");
	}

	/** SIGCONT. */
	public void resume() throws IOException {
		signal("-CONT");
	}

	private void signal(String name) throws IOException {
		try {
			new ProcessBuilder("kill", name, String.valueOf(pid())).start().waitFor();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		kill();
	}

}
