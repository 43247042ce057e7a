package io.anvilusher.adapters.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.anvilusher.adapters.json.LocatedJsonParser;
import io.anvilusher.adapters.json.LocatedValue;
import io.anvilusher.adapters.json.LocatedValue.ObjectValue;
import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.json.Problem;
import io.anvilusher.adapters.json.TextPosition;

/**
 * Result of reading a settings file. All problems of the file are listed, not only the
 * first.
 *
 * @param <T> type of the settings
 * @param settings the settings, or empty if there are problems
 * @param errors the problems, each with file, line and column
 */
public record SettingsFile<T>(Optional<T> settings, List<String> errors) {

	public SettingsFile {
		errors = List.copyOf(errors);
	}

	/**
	 * Reads a file.
	 * @param <T> type of the settings
	 * @param file the file, in JSON with comments
	 * @param read reads the settings from the file's object
	 * @return the settings or the problems
	 */
	public static <T> SettingsFile<T> read(Path file, Function<ObjectReader, T> read) {
		try {
			return parse(file.toString(), Files.readString(file), read);
		}
		catch (IOException ex) {
			return new SettingsFile<>(Optional.empty(), List.of(file + ": cannot be read: " + ex.getMessage()));
		}
	}

	private static <T> SettingsFile<T> parse(String file, String text, Function<ObjectReader, T> read) {
		List<Problem> problems = new ArrayList<>();
		Optional<LocatedValue> value = LocatedJsonParser.parse(text, problems);
		Optional<T> settings = value.filter(ObjectValue.class::isInstance).map((object) -> {
			ObjectReader reader = new ObjectReader((ObjectValue) object, problems);
			T result = read.apply(reader);
			reader.reportUnknownFields();
			return result;
		});
		if (settings.isEmpty() && problems.isEmpty()) {
			problems.add(new Problem(new TextPosition(1, 1), "the settings must be an object"));
		}
		List<String> errors = problems.stream().map((problem) -> problem.format(file)).toList();
		return new SettingsFile<>(errors.isEmpty() ? settings : Optional.empty(), errors);
	}

}
