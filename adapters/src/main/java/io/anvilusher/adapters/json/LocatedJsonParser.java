package io.anvilusher.adapters.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/**
 * Parses JSON, in which comments and trailing commas are allowed, into values with their
 * positions.
 */
public final class LocatedJsonParser {

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private final List<Problem> problems = new ArrayList<>();

	private LocatedJsonParser() {
	}

	/**
	 * Parses a text.
	 * @param text the text
	 * @param problems list to which the problems found are added
	 * @return the value, or empty if the text is not valid JSON
	 */
	public static Optional<LocatedValue> parse(String text, List<Problem> problems) {
		LocatedJsonParser parser = new LocatedJsonParser();
		Optional<LocatedValue> value = parser.parse(text);
		problems.addAll(parser.problems);
		return value;
	}

	private Optional<LocatedValue> parse(String text) {
		try (JsonParser json = FACTORY.createParser(text)) {
			if (json.nextToken() == null) {
				this.problems.add(new Problem(new TextPosition(1, 1), "the text is empty"));
				return Optional.empty();
			}
			LocatedValue value = readValue(json);
			if (json.nextToken() != null) {
				this.problems.add(new Problem(position(json), "unexpected content after the end of the JSON value"));
			}
			return Optional.of(value);
		}
		catch (JsonProcessingException ex) {
			this.problems.add(new Problem(position(ex.getLocation()),
					ex.getOriginalMessage().lines().findFirst().orElse("not valid JSON")));
			return Optional.empty();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Reading JSON from a string failed", ex);
		}
	}

	private LocatedValue readValue(JsonParser json) throws IOException {
		TextPosition position = position(json);
		return switch (json.currentToken()) {
			case START_OBJECT -> readObject(json, position);
			case START_ARRAY -> readArray(json, position);
			case VALUE_STRING -> new LocatedValue.TextValue(position, json.getText());
			case VALUE_NUMBER_INT -> new LocatedValue.NumberValue(position, json.getDoubleValue(), true);
			case VALUE_NUMBER_FLOAT -> new LocatedValue.NumberValue(position, json.getDoubleValue(), false);
			case VALUE_TRUE, VALUE_FALSE -> new LocatedValue.BooleanValue(position, json.getBooleanValue());
			default -> new LocatedValue.NullValue(position);
		};
	}

	private LocatedValue readObject(JsonParser json, TextPosition position) throws IOException {
		Map<String, LocatedValue> fields = new LinkedHashMap<>();
		Map<String, TextPosition> namePositions = new LinkedHashMap<>();
		while (json.nextToken() != JsonToken.END_OBJECT) {
			String name = json.currentName();
			TextPosition namePosition = position(json);
			json.nextToken();
			if (fields.containsKey(name)) {
				this.problems.add(new Problem(namePosition, "field \"" + name + "\" occurs twice"));
			}
			namePositions.put(name, namePosition);
			fields.put(name, readValue(json));
		}
		return new LocatedValue.ObjectValue(position, fields, namePositions);
	}

	private LocatedValue readArray(JsonParser json, TextPosition position) throws IOException {
		List<LocatedValue> items = new ArrayList<>();
		while (json.nextToken() != JsonToken.END_ARRAY) {
			items.add(readValue(json));
		}
		return new LocatedValue.ArrayValue(position, items);
	}

	private static TextPosition position(JsonParser json) {
		return position(json.currentTokenLocation());
	}

	private static TextPosition position(JsonLocation location) {
		return new TextPosition(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
	}

}
