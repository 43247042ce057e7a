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
 * Reads the fields of an object and collects every mistake, rather than stopping at the
 * first. A field that is wrong or missing yields its default, so that reading goes on.
 */
public final class ObjectReader {

	private static final int MAX_NAME_DISTANCE = 3;

	private final ObjectValue object;

	private final List<Problem> problems;

	private final Set<String> known = new LinkedHashSet<>();

	/**
	 * Creates a reader.
	 * @param object the object to read
	 * @param problems receives the mistakes found
	 */
	public ObjectReader(ObjectValue object, List<Problem> problems) {
		this.object = object;
		this.problems = problems;
	}

	/**
	 * Returns the place of a field, or of the object if the field is missing.
	 * @param name name of the field
	 * @return the place
	 */
	public Place place(String name) {
		LocatedValue value = this.object.fields().get(name);
		return (value != null) ? value.place() : this.object.place();
	}

	/**
	 * Reads a text that must be there.
	 * @param name name of the field
	 * @return the text, or an empty one after a mistake
	 */
	public String text(String name) {
		Optional<String> value = optionalText(name);
		if (!this.object.fields().containsKey(name)) {
			missing(name);
		}
		else if (value.filter(String::isBlank).isPresent()) {
			problem(name, "\"" + name + "\" is blank");
		}
		return value.orElse("");
	}

	/**
	 * Reads a text that may be missing.
	 * @param name name of the field
	 * @return the text, or empty if there is none
	 */
	public Optional<String> optionalText(String name) {
		return field(name, TextValue.class, "a text").map(TextValue::value);
	}

	/**
	 * Reads one of several words.
	 * @param <T> type of the value
	 * @param name name of the field
	 * @param choices the words and their values
	 * @param absent value of a missing field
	 * @return the value
	 */
	public <T> T choice(String name, Map<String, T> choices, T absent) {
		Optional<String> word = optionalText(name);
		if (word.isEmpty()) {
			return absent;
		}
		T chosen = choices.get(word.get());
		if (chosen == null) {
			problem(name, "\"" + name + "\" must be one of "
					+ String.join(", ", choices.keySet().stream().sorted().toList()));
			return absent;
		}
		return chosen;
	}

	/**
	 * Reads a whole number.
	 * @param name name of the field
	 * @param min smallest number allowed
	 * @param max largest number allowed
	 * @param absent value of a missing field
	 * @return the number
	 */
	public long wholeNumber(String name, long min, long max, long absent) {
		Optional<NumberValue> value = field(name, NumberValue.class, "a whole number");
		if (value.isEmpty()) {
			return absent;
		}
		double number = value.get().value();
		if (!value.get().whole() || number < min || number > max) {
			problem(name, "\"" + name + "\" must be a whole number from " + min + " to " + max);
			return absent;
		}
		return (long) number;
	}

	/**
	 * Reads a number.
	 * @param name name of the field
	 * @param min smallest number allowed
	 * @param max largest number allowed
	 * @param absent value of a missing field
	 * @return the number
	 */
	public double number(String name, double min, double max, double absent) {
		Optional<NumberValue> value = field(name, NumberValue.class, "a number");
		if (value.isEmpty()) {
			return absent;
		}
		double number = value.get().value();
		if (number < min || number > max) {
			problem(name, "\"" + name + "\" must be a number from " + min + " to " + max);
			return absent;
		}
		return number;
	}

	/**
	 * Reads a truth value.
	 * @param name name of the field
	 * @param absent value of a missing field
	 * @return the truth value
	 */
	public boolean flag(String name, boolean absent) {
		return field(name, BooleanValue.class, "true or false").map(BooleanValue::value).orElse(absent);
	}

	/**
	 * Reads a list of texts.
	 * @param name name of the field
	 * @return the texts; none when the field is missing
	 */
	public List<String> texts(String name) {
		return items(name).stream().flatMap((item) -> {
			if (item instanceof TextValue text) {
				return Stream.of(text.value());
			}
			this.problems.add(new Problem(item.place(), "\"" + name + "\" holds texts, not " + item.kind()));
			return Stream.empty();
		}).toList();
	}

	/**
	 * Reads a list of objects.
	 * @param <T> type of the results
	 * @param name name of the field
	 * @param read reads one object
	 * @return the results; none when the field is missing
	 */
	public <T> List<T> objects(String name, Function<ObjectReader, T> read) {
		return items(name).stream().flatMap((item) -> {
			if (item instanceof ObjectValue child) {
				return Stream.of(readWhole(child, read));
			}
			this.problems.add(new Problem(item.place(), "\"" + name + "\" holds objects, not " + item.kind()));
			return Stream.empty();
		}).toList();
	}

	/**
	 * Reads an object that may be missing.
	 * @param <T> type of the result
	 * @param name name of the field
	 * @param read reads the object
	 * @return the result, or empty if the field is missing
	 */
	public <T> Optional<T> object(String name, Function<ObjectReader, T> read) {
		return field(name, ObjectValue.class, "an object").map((child) -> readWhole(child, read));
	}

	/**
	 * Notes a mistake in a field.
	 * @param name name of the field
	 * @param message what is wrong
	 */
	public void problem(String name, String message) {
		this.problems.add(new Problem(place(name), message));
	}

	/**
	 * Notes the fields that no reading asked for.
	 */
	public void reportUnknownFields() {
		this.object.fields()
			.keySet()
			.stream()
			.filter((name) -> !this.known.contains(name))
			.map((name) -> new Problem(this.object.namePlaces().get(name),
					"unknown field \"" + name + "\"" + suggestion(name)))
			.forEach(this.problems::add);
	}

	private <T> T readWhole(ObjectValue child, Function<ObjectReader, T> read) {
		ObjectReader reader = new ObjectReader(child, this.problems);
		T result = read.apply(reader);
		reader.reportUnknownFields();
		return result;
	}

	private List<LocatedValue> items(String name) {
		return field(name, ArrayValue.class, "an array").map(ArrayValue::items).orElse(List.of());
	}

	private <V extends LocatedValue> Optional<V> field(String name, Class<V> type, String expected) {
		this.known.add(name);
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

	private void missing(String name) {
		this.problems.add(new Problem(this.object.place(), "\"" + name + "\" is missing"));
	}

	private String suggestion(String name) {
		return this.known.stream()
			.filter((candidate) -> EditDistance.between(name, candidate) <= MAX_NAME_DISTANCE)
			.min(Comparator.comparingInt((candidate) -> EditDistance.between(name, candidate)))
			.map((nearest) -> "; did you mean \"" + nearest + "\"?")
			.orElse("; known fields are " + String.join(", ", this.known));
	}

}
