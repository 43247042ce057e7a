package io.anvilusher.adapters.json;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value with its position in the text.
 */
public sealed interface LocatedValue {

	/**
	 * Returns the position of the value.
	 * @return position of its first character
	 */
	TextPosition position();

	/**
	 * Returns the JSON type of the value for use in a message.
	 * @return the type, with an article where it needs one
	 */
	String kind();

	/**
	 * An object.
	 *
	 * @param position position of its first character
	 * @param fields its fields, in the order of the text
	 * @param namePositions positions of the field names, by field name
	 */
	record ObjectValue(TextPosition position, Map<String, LocatedValue> fields,
			Map<String, TextPosition> namePositions) implements LocatedValue {

		public ObjectValue {
			fields = new LinkedHashMap<>(fields);
			namePositions = Map.copyOf(namePositions);
		}

		@Override
		public String kind() {
			return "an object";
		}

	}

	/**
	 * An array.
	 *
	 * @param position position of its first character
	 * @param items its items
	 */
	record ArrayValue(TextPosition position, List<LocatedValue> items) implements LocatedValue {

		public ArrayValue {
			items = List.copyOf(items);
		}

		@Override
		public String kind() {
			return "an array";
		}

	}

	/**
	 * A string.
	 *
	 * @param position position of its first character
	 * @param value the string, with escapes resolved
	 */
	record TextValue(TextPosition position, String value) implements LocatedValue {

		@Override
		public String kind() {
			return "a string";
		}

	}

	/**
	 * A number.
	 *
	 * @param position position of its first character
	 * @param value the number
	 * @param integral whether it was written without a fraction or an exponent
	 */
	record NumberValue(TextPosition position, double value, boolean integral) implements LocatedValue {

		@Override
		public String kind() {
			return "a number";
		}

	}

	/**
	 * A boolean.
	 *
	 * @param position position of its first character
	 * @param value the boolean
	 */
	record BooleanValue(TextPosition position, boolean value) implements LocatedValue {

		@Override
		public String kind() {
			return "true or false";
		}

	}

	/**
	 * The value {@code null}.
	 *
	 * @param position position of its first character
	 */
	record NullValue(TextPosition position) implements LocatedValue {

		@Override
		public String kind() {
			return "null";
		}

	}

}
