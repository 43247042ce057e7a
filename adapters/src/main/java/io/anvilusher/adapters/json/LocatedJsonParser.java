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
 * Parses JSON with comments and trailing commas into values that know their places.
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
	 * @param problems receives the mistakes found
	 * @return the value, or empty if the text is not JSON
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
				this.problems.add(new Problem(new Place(1, 1), "the text is empty"));
				return Optional.empty();
			}
			LocatedValue value = readValue(json);
			if (json.nextToken() != null) {
				this.problems.add(new Problem(place(json), "something follows the end of the text"));
			}
			return Optional.of(value);
		}
		catch (JsonProcessingException ex) {
			this.problems.add(new Problem(place(ex.getLocation()),
					ex.getOriginalMessage().lines().findFirst().orElse("not JSON")));
			return Optional.empty();
		}
		catch (IOException ex) {
			throw new IllegalStateException("A text in memory can be read", ex);
		}
	}

	private LocatedValue readValue(JsonParser json) throws IOException {
		Place place = place(json);
		return switch (json.currentToken()) {
			case START_OBJECT -> readObject(json, place);
			case START_ARRAY -> readArray(json, place);
			case VALUE_STRING -> new LocatedValue.TextValue(place, json.getText());
			case VALUE_NUMBER_INT -> new LocatedValue.NumberValue(place, json.getDoubleValue(), true);
			case VALUE_NUMBER_FLOAT -> new LocatedValue.NumberValue(place, json.getDoubleValue(), false);
			case VALUE_TRUE, VALUE_FALSE -> new LocatedValue.BooleanValue(place, json.getBooleanValue());
			default -> new LocatedValue.NullValue(place);
		};
	}

	private LocatedValue readObject(JsonParser json, Place place) throws IOException {
		Map<String, LocatedValue> fields = new LinkedHashMap<>();
		Map<String, Place> namePlaces = new LinkedHashMap<>();
		while (json.nextToken() != JsonToken.END_OBJECT) {
			String name = json.currentName();
			Place namePlace = place(json);
			json.nextToken();
			if (fields.containsKey(name)) {
				this.problems.add(new Problem(namePlace, "field \"" + name + "\" stands twice"));
			}
			namePlaces.put(name, namePlace);
			fields.put(name, readValue(json));
		}
		return new LocatedValue.ObjectValue(place, fields, namePlaces);
	}

	private LocatedValue readArray(JsonParser json, Place place) throws IOException {
		List<LocatedValue> items = new ArrayList<>();
		while (json.nextToken() != JsonToken.END_ARRAY) {
			items.add(readValue(json));
		}
		return new LocatedValue.ArrayValue(place, items);
	}

	private static Place place(JsonParser json) {
		return place(json.currentTokenLocation());
	}

	private static Place place(JsonLocation location) {
		return new Place(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
	}

}
