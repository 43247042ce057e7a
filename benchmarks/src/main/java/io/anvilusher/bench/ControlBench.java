package io.anvilusher.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import io.anvilusher.adapters.process.Command;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.deployment.Deployment;

/**
 * Measures how long a published configuration takes to be in force in every entry, how
 * long a take-over of the region's lease takes, and what control costs while nothing
 * happens.
 */
@Parameters(commandDescription = "Time from publish to in force, take-over time, and the cost of control")
final class ControlBench implements Command {

	private static final long POLL_MS = 2;

	@Parameter(names = "--entries", description = "Numbers of entries, in turn")
	private List<Integer> entries = Arrays.asList(3, 12, 30);

	@Parameter(names = "--publications", description = "Publications for each number of entries")
	private int publications = 7;

	@Parameter(names = "--idle-seconds", description = "Length of the measurement of idle processes")
	private int idleSeconds = 10;

	@Override
	public ExitCode run() {
		System.out.printf("%-9s %14s %14s %14s %16s %14s%n", "entries", "in force p50", "in force max", "take-over ms",
				"idle CPU %/entry", "resident MB");
		this.entries.forEach((count) -> {
			try {
				measure(count);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
		return ExitCode.OK;
	}

	private void measure(int count) throws IOException {
		try (Deployment deployment = Deployment.start()) {
			List<String> names = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				names.add("entry-" + i);
				deployment.startEntry("entry-" + i, "dc");
			}
			BenchConfiguration.publish(deployment);
			Deployment.await(() -> names.stream().allMatch((name) -> version(deployment, name) > 0), 30_000);
			Deployment.await(() -> !holder(deployment, names).isEmpty(), 30_000);
			List<Long> inForceMs = new ArrayList<>();
			for (int i = 0; i < this.publications; i++) {
				inForceMs.add(publish(deployment, names, i + 2));
			}
			Collections.sort(inForceMs);
			long cpuBefore = cpu(deployment, names);
			sleep(this.idleSeconds * 1000L);
			double cpuPercent = (cpu(deployment, names) - cpuBefore) / 10.0 / this.idleSeconds / count;
			long residentMb = ProcessUsage.of(deployment.process(names.get(0)).pid()).residentMb();
			System.out.printf("%-9d %14d %14d %14d %16.2f %14d%n", count, inForceMs.get(inForceMs.size() / 2),
					inForceMs.get(inForceMs.size() - 1), takeOver(deployment, names), cpuPercent, residentMb);
		}
	}

	private long publish(Deployment deployment, List<String> names, int weight) throws IOException {
		Path file = deployment.directory().resolve("bench.json");
		Files.writeString(file, BenchConfiguration.text(weight));
		long[] accepted = new long[1];
		Thread command = new Thread(() -> accepted[0] = version(publishQuietly(deployment, file)));
		long before = version(deployment, names.get(0));
		command.start();
		// The first entry to have the version is the log's word that it was accepted.
		Deployment.await(() -> names.stream().anyMatch((name) -> version(deployment, name) > before), 30_000);
		long startedNanos = System.nanoTime();
		Deployment.await(() -> names.stream().allMatch((name) -> version(deployment, name) > before), 30_000);
		long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
		join(command);
		return tookMs;
	}

	private static long version(String printed) {
		return Long.parseLong(printed.strip().replace("version ", ""));
	}

	private static String publishQuietly(Deployment deployment, Path file) {
		try {
			return deployment.publish(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long version(Deployment deployment, String name) {
		try {
			return deployment.json(deployment.entryAdminUrl(name) + "/status").path("configuration_version").asLong();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private static String holder(Deployment deployment, List<String> names) {
		return names.stream()
			.filter((name) -> deployment.process(name).isAlive() && holds(deployment, name))
			.findFirst()
			.orElse("");
	}

	private static boolean holds(Deployment deployment, String name) {
		try {
			return deployment.json(deployment.entryAdminUrl(name) + "/status").path("holds_lease").asBoolean();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static long takeOver(Deployment deployment, List<String> names) {
		deployment.process(holder(deployment, names)).kill();
		long startedNanos = System.nanoTime();
		Deployment.await(() -> !holder(deployment, names).isEmpty(), 60_000);
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
	}

	private static long cpu(Deployment deployment, List<String> names) {
		return names.stream().mapToLong((name) -> ProcessUsage.of(deployment.process(name).pid()).cpuMs()).sum();
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(Math.max(POLL_MS, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
