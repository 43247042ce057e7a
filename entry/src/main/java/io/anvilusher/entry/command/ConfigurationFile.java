package io.anvilusher.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import io.anvilusher.adapters.config.ConfigurationParser;
import io.anvilusher.adapters.config.ParsedConfiguration;

/**
 * Reads the operator's configuration file and prints its mistakes.
 */
final class ConfigurationFile {

	private ConfigurationFile() {
	}

	/**
	 * Reads and checks a file.
	 * @param file the file
	 * @return its text, or empty after its mistakes were printed on standard error
	 */
	static Optional<String> read(String file) {
		String text;
		try {
			text = Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			System.err.println(file + ": cannot be read: " + ex.getMessage());
			return Optional.empty();
		}
		if (ConfigurationParser.parse(text) instanceof ParsedConfiguration.Invalid invalid) {
			invalid.problems().forEach((problem) -> System.err.println(problem.format(file)));
			return Optional.empty();
		}
		return Optional.of(text);
	}

}
