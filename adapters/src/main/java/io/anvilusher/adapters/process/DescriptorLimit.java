package io.anvilusher.adapters.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The limit of the operating system on the open descriptors of this process.
 */
public final class DescriptorLimit {

	private static final Logger LOGGER = LoggerFactory.getLogger(DescriptorLimit.class);

	/** Usual default of operating systems; used if the limit cannot be read. */
	private static final int FALLBACK = 1_024;

	private static final Path LIMITS = Path.of("/proc/self/limits");

	private static final String LINE_START = "Max open files";

	private DescriptorLimit() {
	}

	/**
	 * Returns the limit. It is read from the file system, because the management
	 * interface of the JVM takes long to load at the start.
	 * @return maximum number of open descriptors
	 */
	public static int current() {
		try {
			return parse(Files.readAllLines(LIMITS, StandardCharsets.US_ASCII));
		}
		catch (IOException ex) {
			LOGGER.warn("The limit on open descriptors cannot be read ({}); {} is used", ex.toString(), FALLBACK);
			return FALLBACK;
		}
	}

	static int parse(List<String> lines) throws IOException {
		String soft = lines.stream()
			.filter((line) -> line.startsWith(LINE_START))
			.flatMap((line) -> Arrays.stream(line.substring(LINE_START.length()).trim().split("\\s+")).limit(1))
			.findFirst()
			.orElseThrow(() -> new IOException("No line \"" + LINE_START + "\" in " + LIMITS));
		if (soft.equals("unlimited")) {
			return Integer.MAX_VALUE;
		}
		try {
			return (int) Math.min(Integer.MAX_VALUE, Long.parseLong(soft));
		}
		catch (NumberFormatException ex) {
			throw new IOException("The limit on open files is not a number: " + soft, ex);
		}
	}

}
