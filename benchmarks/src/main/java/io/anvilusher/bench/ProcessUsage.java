package io.anvilusher.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and memory of a process, from the kernel's own counts.
 *
 * @param cpuMs processor time since its start
 * @param residentKb resident memory
 */
record ProcessUsage(long cpuMs, long residentKb) {

	private static final long MS_PER_TICK = 10;

	private static final int USER_TICKS = 11;

	private static final int SYSTEM_TICKS = 12;

	static ProcessUsage of(long pid) {
		try {
			String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
			// The fields after the command's closing bracket are separated by blanks.
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
			long residentKb = Files.readAllLines(Path.of("/proc/" + pid + "/status"))
				.stream()
				.filter((line) -> line.startsWith("VmRSS:"))
				.map((line) -> line.replaceAll("\\D", ""))
				.mapToLong(Long::parseLong)
				.findFirst()
				.orElse(0);
			return new ProcessUsage(ticks * MS_PER_TICK, residentKb);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	long residentMb() {
		return this.residentKb / 1024;
	}

}
