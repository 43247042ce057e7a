package io.anvilusher.adapters.json;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

import io.anvilusher.adapters.json.LocatedValue.ArrayValue;
import io.anvilusher.adapters.json.LocatedValue.BooleanValue;
import io.anvilusher.adapters.json.LocatedValue.NumberValue;
import io.anvilusher.adapters.json.LocatedValue.ObjectValue;
import io.anvilusher.adapters.json.LocatedValue.TextValue;

/**
 * Reads the fields of a JSON object and collects all problems instead of stopping at the
 * first. A field that is invalid or missing yields a default value, so that reading can
 * continue.
 */
public final class ObjectReader {

	private static final int MAX_SUGGESTION_DISTANCE = 3;

	private final ObjectValue object;

	private final List<Problem> problems;

	private final Set<String> requestedFields = new LinkedHashSet<>();

	/**
	 * Creates a reader.
	 * @param object the object to read
	 * @param problems list to which the problems found are added
	 */
	public ObjectReader(ObjectValue object, List<Problem> problems) {
		this.object = object;
		this.problems = problems;
	}

	/**
	 * Returns the position of a field's value, or of the object if the field is missing.
	 * @param name name of the field
	 * @return the position
	 */
	public TextPosition position(String name) {
		LocatedValue value = this.object.fields().get(name);
		return (value != null) ? value.position() : this.object.position();
	}

	/**
	 * Reads a required string, which must not be blank.
	 * @param name name of the field
	 * @return the string; empty or blank after a problem
	 */
	public String text(String name) {
		Optional<String> value = optionalText(name);
		if (!this.object.fields().containsKey(name)) {
			reportMissing(name);
		}
		else if (value.filter(String::isBlank).isPresent()) {
			problem(name, "\"" + name + "\" is blank");
		}
		return value.orElse("");
	}

	/**
	 * Reads an optional string.
	 * @param name name of the field
	 * @return the string, or empty if the field is missing or invalid
	 */
	public Optional<String> optionalText(String name) {
		return field(name, TextValue.class, "a string").map(TextValue::value);
	}

	/**
	 * Reads an optional string that must be one of several values.
	 * @param <T> type of the value
	 * @param name name of the field
	 * @param choices results by the text of the field
	 * @param defaultValue value to return if the field is missing or invalid
	 * @return the result for the text
	 */
	public <T> T choice(String name, Map<String, T> choices, T defaultValue) {
		Optional<String> text = optionalText(name);
		if (text.isEmpty()) {
			return defaultValue;
		}
		T chosen = choices.get(text.get());
		if (chosen == null) {
			problem(name, "\"" + name + "\" must be one of "
					+ String.join(", ", choices.keySet().stream().sorted().toList()));
			return defaultValue;
		}
		return chosen;
	}

	/**
	 * Reads an optional whole number.
	 * @param name name of the field
	 * @param min minimum value, inclusive
	 * @param max maximum value, inclusive
	 * @param defaultValue value to return if the field is missing or invalid
	 * @return the number
	 */
	public long wholeNumber(String name, long min, long max, long defaultValue) {
		Optional<NumberValue> value = field(name, NumberValue.class, "a whole number");
		if (value.isEmpty()) {
			return defaultValue;
		}
		double number = value.get().value();
		if (!value.get().integral() || number < min || number > max) {
			problem(name, "\"" + name + "\" must be a whole number from " + min + " to " + max);
			return defaultValue;
		}
		return (long) number;
	}

	/**
	 * Reads an optional number.
	 * @param name name of the field
	 * @param min minimum value, inclusive
	 * @param max maximum value, inclusive
	 * @param defaultValue value to return if the field is missing or invalid
	 * @return the number
	 */
	public double number(String name, double min, double max, double defaultValue) {
		Optional<NumberValue> value = field(name, NumberValue.class, "a number");
		if (value.isEmpty()) {
			return defaultValue;
		}
		double number = value.get().value();
		if (number < min || number > max) {
			problem(name, "\"" + name + "\" must be a number from " + min + " to " + max);
			return defaultValue;
		}
		return number;
	}

	/**
	 * Reads an optional boolean.
	 * @param name name of the field
	 * @param defaultValue value to return if the field is missing or invalid
	 * @return the boolean
	 */
	public boolean flag(String name, boolean defaultValue) {
		return field(name, BooleanValue.class, "true or false").map(BooleanValue::value).orElse(defaultValue);
	}

	/**
	 * Reads an optional array of strings.
	 * @param name name of the field
	 * @return the strings; empty if the field is missing or invalid
	 */
	public List<String> texts(String name) {
		return items(name).stream().flatMap((item) -> {
			if (item instanceof TextValue text) {
				return Stream.of(text.value());
			}
			this.problems
				.add(new Problem(item.position(), "\"" + name + "\" must contain strings, not " + item.kind()));
			return Stream.empty();
		}).toList();
	}

	/**
	 * Reads an optional array of objects.
	 * @param <T> type of the results
	 * @param name name of the field
	 * @param read reads one object
	 * @return the results; empty if the field is missing or invalid
	 */
	public <T> List<T> objects(String name, Function<ObjectReader, T> read) {
		return items(name).stream().flatMap((item) -> {
			if (item instanceof ObjectValue child) {
				return Stream.of(readObject(child, read));
			}
			this.problems
				.add(new Problem(item.position(), "\"" + name + "\" must contain objects, not " + item.kind()));
			return Stream.empty();
		}).toList();
	}

	/**
	 * Reads an optional object.
	 * @param <T> type of the result
	 * @param name name of the field
	 * @param read reads the object
	 * @return the result, or empty if the field is missing or invalid
	 */
	public <T> Optional<T> object(String name, Function<ObjectReader, T> read) {
		return field(name, ObjectValue.class, "an object").map((child) -> readObject(child, read));
	}

	/**
	 * Adds a problem at the position of a field.
	 * @param name name of the field
	 * @param message description of the problem
	 */
	public void problem(String name, String message) {
		this.problems.add(new Problem(position(name), message));
	}

	/**
	 * Adds a problem for each field of the object that was not read. It is called after
	 * all known fields were read.
	 */
	public void reportUnknownFields() {
		this.object.fields()
			.keySet()
			.stream()
			.filter((name) -> !this.requestedFields.contains(name))
			.map((name) -> new Problem(this.object.namePositions().get(name),
					"unknown field \"" + name + "\"" + suggestion(name)))
			.forEach(this.problems::add);
	}

	private <T> T readObject(ObjectValue child, Function<ObjectReader, T> read) {
		ObjectReader reader = new ObjectReader(child, this.problems);
		T result = read.apply(reader);
		reader.reportUnknownFields();
		return result;
	}

	private List<LocatedValue> items(String name) {
		return field(name, ArrayValue.class, "an array").map(ArrayValue::items).orElse(List.of());
	}

	private <V extends LocatedValue> Optional<V> field(String name, Class<V> type, String expected) {
		this.requestedFields.add(name);
		LocatedValue value = this.object.fields().get(name);
		if (value == null) {
			return Optional.empty();
		}
		if (!type.isInstance(value)) {
			problem(name, "\"" + name + "\" must be " + expected + ", not " + value.kind());
			return Optional.empty();
		}
		return Optional.of(type.cast(value));
	}

	private void reportMissing(String name) {
		this.problems.add(new Problem(this.object.position(), "\"" + name + "\" is missing"));
	}

	private String suggestion(String name) {
		return this.requestedFields.stream()
			.filter((candidate) -> EditDistance.between(name, candidate) <= MAX_SUGGESTION_DISTANCE)
			.min(Comparator.comparingInt((candidate) -> EditDistance.between(name, candidate)))
			.map((nearest) -> "; did you mean \"" + nearest + "\"?")
			.orElse("; known fields are " + String.join(", ", this.requestedFields));
	}

}
