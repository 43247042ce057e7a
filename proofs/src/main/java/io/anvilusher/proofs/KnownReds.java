package io.anvilusher.proofs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The tests that {@code KNOWN-RED.txt} lists as failing for a known fault. An entry is a
 * line that begins with {@code test: } and the test's class and method.
 *
 * @param tests the tests, as {@code Class#method}
 */
public record KnownReds(Set<String> tests) {

	private static final String PREFIX = "test: ";

	public KnownReds {
		tests = Set.copyOf(tests);
	}

	/**
	 * Reads the list.
	 * @param file the file; a missing one lists nothing
	 * @return the list
	 */
	public static KnownReds read(Path file) {
		if (!Files.exists(file)) {
			return new KnownReds(Set.of());
		}
		try {
			List<String> lines = Files.readAllLines(file);
			return new KnownReds(lines.stream()
				.filter((line) -> line.startsWith(PREFIX))
				.map((line) -> line.substring(PREFIX.length()).strip())
				.collect(Collectors.toSet()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Tells whether a test is listed.
	 * @param test the test, as {@code Class#method}
	 * @return whether it is listed
	 */
	public boolean contains(String test) {
		return this.tests.contains(test);
	}

}
