package io.anvilusher.gateway.stream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Encodes streams that have begun as a record of the log, grouped by their origin:
 * {@code {"format":1,"streams":[["service","version",["id","id"]]]}}.
 */
final class OriginRecord {

	private static final int FORMAT = 1;

	// Texts that are no valid Unicode are written as well.
	private static final ObjectMapper MAPPER = JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

	private OriginRecord() {
	}

	/**
	 * Encodes streams.
	 * @param streams the streams
	 * @return the record
	 */
	static byte[] encode(Iterable<BegunStream> streams) {
		Map<StreamOrigin, List<String>> idsByOrigin = new LinkedHashMap<>();
		streams.forEach((stream) -> idsByOrigin.computeIfAbsent(stream.origin(), (origin) -> new ArrayList<>())
			.add(stream.requestId()));
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (JsonGenerator json = MAPPER.createGenerator(out)) {
			json.writeStartObject();
			json.writeNumberField("format", FORMAT);
			json.writeArrayFieldStart("streams");
			for (Map.Entry<StreamOrigin, List<String>> group : idsByOrigin.entrySet()) {
				json.writeStartArray();
				json.writeString(group.getKey().service());
				json.writeString(group.getKey().softwareVersion());
				json.writeStartArray();
				for (String id : group.getValue()) {
					json.writeString(id);
				}
				json.writeEndArray();
				json.writeEndArray();
			}
			json.writeEndArray();
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Streams that have begun could not be written as JSON", ex);
		}
		return out.toByteArray();
	}

	/**
	 * Decodes a record.
	 * @param content the bytes of the record
	 * @param knownAtMs time to give to the streams, by the monotonic clock
	 * @return the streams, or empty if the record is of another kind
	 */
	static Optional<List<BegunStream>> decode(byte[] content, long knownAtMs) {
		try {
			JsonNode root = MAPPER.readTree(content);
			JsonNode groups = root.path("streams");
			if (root.path("format").asInt() != FORMAT || !groups.isArray() || !all(groups, OriginRecord::isGroup)) {
				return Optional.empty();
			}
			List<BegunStream> streams = new ArrayList<>();
			groups.forEach((group) -> {
				StreamOrigin origin = new StreamOrigin(group.path(0).textValue(), group.path(1).textValue());
				group.path(2).forEach((id) -> streams.add(new BegunStream(id.textValue(), origin, knownAtMs)));
			});
			return Optional.of(streams);
		}
		catch (IOException ex) {
			// The reader counts records that are not readable.
			return Optional.empty();
		}
	}

	private static boolean isGroup(JsonNode group) {
		return group.path(0).isTextual() && group.path(1).isTextual() && group.path(2).isArray()
				&& all(group.path(2), JsonNode::isTextual);
	}

	private static boolean all(JsonNode array, Predicate<JsonNode> condition) {
		return StreamSupport.stream(array.spliterator(), false).allMatch(condition);
	}

}
