package io.anvilusher.proofs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tests that {@code KNOWN-RED.txt} lists as failing because of a known fault. Each line
 * that begins with {@code test: } names one of them, as {@code Class#method}.
 *
 * @param tests the tests, as {@code Class#method}
 */
public record KnownFailures(Set<String> tests) {

	private static final String PREFIX = "test: ";

	public KnownFailures {
		tests = Set.copyOf(tests);
	}

	/**
	 * Reads the list from a file.
	 * @param file the file; a missing one lists nothing
	 * @return the list
	 */
	public static KnownFailures read(Path file) {
		if (!Files.exists(file)) {
			return new KnownFailures(Set.of());
		}
		try {
			List<String> lines = Files.readAllLines(file);
			return new KnownFailures(lines.stream()
				.filter((line) -> line.startsWith(PREFIX))
				.map((line) -> line.substring(PREFIX.length()).strip())
				.collect(Collectors.toSet()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns whether a test is listed.
	 * @param test the test, as {@code Class#method}
	 * @return whether it is listed
	 */
	public boolean contains(String test) {
		return this.tests.contains(test);
	}

}
