package io.anvilusher.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Processor time and memory of a process, read from {@code /proc}.
 *
 * @param cpuMs processor time since its start, in milliseconds
 * @param residentKb resident memory, in KB
 */
record ProcessUsage(long cpuMs, long residentKb) {

	/** The kernel counts processor time in ticks of a hundredth of a second. */
	private static final long MS_PER_TICK = 10;

	/** Index of user time, counted from the field after the command name. */
	private static final int USER_TICKS_FIELD = 11;

	/** Index of system time, counted from the field after the command name. */
	private static final int SYSTEM_TICKS_FIELD = 12;

	static ProcessUsage of(long pid) {
		try {
			String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
			// The command name is in brackets and may contain blanks, so the fields are
			// counted from its closing bracket.
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]);
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
