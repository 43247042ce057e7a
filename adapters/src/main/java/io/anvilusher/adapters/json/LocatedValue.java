package io.anvilusher.adapters.json;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON value that knows its place in the text.
 */
public sealed interface LocatedValue {

	/**
	 * Returns the place of the value.
	 * @return the place
	 */
	Place place();

	/**
	 * Names the kind of the value for a message.
	 * @return the kind
	 */
	String kind();

	/**
	 * An object.
	 *
	 * @param place where it begins
	 * @param fields its fields, in the order of the text
	 * @param namePlaces the places of the field names
	 */
	record ObjectValue(Place place, Map<String, LocatedValue> fields,
			Map<String, Place> namePlaces) implements LocatedValue {

		public ObjectValue {
			fields = new LinkedHashMap<>(fields);
			namePlaces = Map.copyOf(namePlaces);
		}

		@Override
		public String kind() {
			return "an object";
		}

	}

	/**
	 * An array.
	 *
	 * @param place where it begins
	 * @param items its items
	 */
	record ArrayValue(Place place, List<LocatedValue> items) implements LocatedValue {

		public ArrayValue {
			items = List.copyOf(items);
		}

		@Override
		public String kind() {
			return "an array";
		}

	}

	/**
	 * A text.
	 *
	 * @param place where it begins
	 * @param value the text
	 */
	record TextValue(Place place, String value) implements LocatedValue {

		@Override
		public String kind() {
			return "a text";
		}

	}

	/**
	 * A number.
	 *
	 * @param place where it begins
	 * @param value the number
	 * @param whole whether it was written without fraction and exponent
	 */
	record NumberValue(Place place, double value, boolean whole) implements LocatedValue {

		@Override
		public String kind() {
			return "a number";
		}

	}

	/**
	 * A truth value.
	 *
	 * @param place where it begins
	 * @param value the truth value
	 */
	record BooleanValue(Place place, boolean value) implements LocatedValue {

		@Override
		public String kind() {
			return "true or false";
		}

	}

	/**
	 * The value {@code null}.
	 *
	 * @param place where it begins
	 */
	record NullValue(Place place) implements LocatedValue {

		@Override
		public String kind() {
			return "null";
		}

	}

}
