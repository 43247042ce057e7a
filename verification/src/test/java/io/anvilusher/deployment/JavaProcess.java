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

/**
 * A Java process whose output is written to a file and scanned for the ports on which the
 * process listens.
 */
public final class JavaProcess implements AutoCloseable {

	/**
	 * JVM flags that start quickly and need little memory, for processes that run only
	 * for a short time.
	 */
	private static final String DEFAULT_JVM_FLAGS = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=64m";

	private static final Pattern READY = Pattern.compile("ready port=(\\d+)");

	private static final Pattern ENTRY_READY = Pattern
		.compile("callers on port (\\d+), for peers on port (\\d+), admin on port (\\d+)");

	private static final Pattern SIDECAR_READY = Pattern.compile("listens on port (\\d+), admin on port (\\d+)");

	private final Process process;

	private final CompletableFuture<List<Integer>> ports = new CompletableFuture<>();

	private volatile boolean outputComplete;

	private JavaProcess(Process process) {
		this.process = process;
	}

	public static JavaProcess start(Path output, String heap, Class<?> main, String... args) throws IOException {
		return start(output, heap, main.getName(), args);
	}

	public static JavaProcess start(Path output, String heap, String main, String... args) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(ProcessHandle.current().info().command().orElse("java"), "-Xmx" + heap, "-Xss512k"));
		command.addAll(List.of(System.getProperty("anvilusher.jvm", DEFAULT_JVM_FLAGS).split(" ")));
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
		this.outputComplete = true;
		this.ports.completeExceptionally(new IOException("process ended before it printed its ports; see " + output));
	}

	private void findPorts(String line) {
		for (Pattern pattern : List.of(READY, ENTRY_READY, SIDECAR_READY)) {
			Matcher matcher = pattern.matcher(line);
			if (matcher.find()) {
				List<Integer> foundPorts = new ArrayList<>();
				for (int group = 1; group <= matcher.groupCount(); group++) {
					foundPorts.add(Integer.parseInt(matcher.group(group)));
				}
				this.ports.complete(foundPorts);
				return;
			}
		}
	}

	/**
	 * Returns the ports in the order in which the process prints them, and waits until it
	 * has done so.
	 */
	public List<Integer> ports() {
		try {
			return this.ports.get(30, TimeUnit.SECONDS);
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("process did not print its ports", ex);
		}
	}

	public long pid() {
		return this.process.pid();
	}

	public boolean isAlive() {
		return this.process.isAlive();
	}

	/** Returns whether the process has ended and all of its output was read. */
	public boolean hasEnded() {
		return !isAlive() && this.outputComplete;
	}

	/** Asks the process to stop, with SIGTERM. */
	public void terminate() throws IOException {
		signal("-TERM");
	}

	/** Kills the process with SIGKILL and waits for its end. */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	public int awaitExit() {
		try {
			if (!this.process.waitFor(60, TimeUnit.SECONDS)) {
				throw new IllegalStateException("process did not end within 60 s");
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** Suspends the process with SIGSTOP. */
	public void pause() throws IOException {
		signal("-STOP");
	}

	/** Resumes a suspended process with SIGCONT. */
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
