package io.anvilusher.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import io.anvilusher.adapters.config.ConfigurationParser;
import io.anvilusher.adapters.config.ParsedConfiguration;

/**
 * Reads and checks an operator's configuration file.
 */
final class ConfigurationFile {

	private ConfigurationFile() {
	}

	/**
	 * Reads and checks a file. Prints its problems on standard error.
	 * @param file path of the file
	 * @return the text of the file, or empty if it cannot be read or is invalid
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
