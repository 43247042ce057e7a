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
 * Measures the time until a published configuration is in force in every entry, the time
 * until another entry takes over the region's lease from a killed holder, and the
 * processor time and memory of idle entries.
 */
@Parameters(commandDescription = "Time from publish to in force, take-over time, and the cost of control")
final class ControlBench implements Command {

	private static final long MIN_SLEEP_MS = 2;

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
			Deployment.await(() -> names.stream().allMatch((name) -> configurationVersion(deployment, name) > 0),
					30_000);
			Deployment.await(() -> !leaseHolder(deployment, names).isEmpty(), 30_000);
			List<Long> inForceMs = new ArrayList<>();
			for (int i = 0; i < this.publications; i++) {
				inForceMs.add(measurePublication(deployment, names, i + 2));
			}
			Collections.sort(inForceMs);
			long cpuMsBefore = totalCpuMs(deployment, names);
			sleep(this.idleSeconds * 1000L);
			double cpuPercent = (totalCpuMs(deployment, names) - cpuMsBefore) / 10.0 / this.idleSeconds / count;
			long residentMb = ProcessUsage.of(deployment.process(names.get(0)).pid()).residentMb();
			System.out.printf("%-9d %14d %14d %14d %16.2f %14d%n", count, inForceMs.get(inForceMs.size() / 2),
					inForceMs.get(inForceMs.size() - 1), measureTakeOver(deployment, names), cpuPercent, residentMb);
		}
	}

	private long measurePublication(Deployment deployment, List<String> names, int weight) throws IOException {
		Path file = deployment.directory().resolve("bench.json");
		Files.writeString(file, BenchConfiguration.text(weight));
		long[] accepted = new long[1];
		Thread command = new Thread(() -> accepted[0] = parseVersion(publishUnchecked(deployment, file)));
		long before = configurationVersion(deployment, names.get(0));
		command.start();
		// The time is measured from the first entry that has the version, which shows
		// that the log accepted it.
		Deployment.await(() -> names.stream().anyMatch((name) -> configurationVersion(deployment, name) > before),
				30_000);
		long startedNanos = System.nanoTime();
		Deployment.await(() -> names.stream().allMatch((name) -> configurationVersion(deployment, name) > before),
				30_000);
		long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
		join(command);
		return tookMs;
	}

	private static long parseVersion(String printed) {
		return Long.parseLong(printed.strip().replace("version ", ""));
	}

	private static String publishUnchecked(Deployment deployment, Path file) {
		try {
			return deployment.publish(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long configurationVersion(Deployment deployment, String name) {
		try {
			return deployment.getJson(deployment.entryAdminUrl(name) + "/status")
				.path("configuration_version")
				.asLong();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private static String leaseHolder(Deployment deployment, List<String> names) {
		return names.stream()
			.filter((name) -> deployment.process(name).isAlive() && holdsLease(deployment, name))
			.findFirst()
			.orElse("");
	}

	private static boolean holdsLease(Deployment deployment, String name) {
		try {
			return deployment.getJson(deployment.entryAdminUrl(name) + "/status").path("holds_lease").asBoolean();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static long measureTakeOver(Deployment deployment, List<String> names) {
		deployment.process(leaseHolder(deployment, names)).kill();
		long startedNanos = System.nanoTime();
		Deployment.await(() -> !leaseHolder(deployment, names).isEmpty(), 60_000);
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
	}

	private static long totalCpuMs(Deployment deployment, List<String> names) {
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
			TimeUnit.MILLISECONDS.sleep(Math.max(MIN_SLEEP_MS, ms));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
