package io.anvilusher.gateway.allowance;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.anvilusher.gateway.allowance.AllowanceMessage.WorkspaceAmounts;

/**
 * Encodes messages as JSON and splits them into parts that fit into a datagram:
 * {@code {"h":[numbers],"p":[index,count],"e":[["workspace",numbers]]}}.
 */
final class MessageFormat {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Longest number in JSON. */
	private static final int MAX_NUMBER_BYTES = Long.toString(Long.MAX_VALUE).length() + 1;

	/** Names and brackets of a part, with index and count. */
	private static final int FRAME_BYTES = 40;

	private MessageFormat() {
	}

	/**
	 * Returns the size of the name of a workspace in a message.
	 * @param workspace name of the workspace
	 * @return the size in bytes
	 */
	static int nameBytes(String workspace) {
		return JsonStringEncoder.getInstance().quoteAsUTF8(workspace).length;
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @param maxBytes largest size of a part, in bytes
	 * @return the parts, or empty if a workspace does not fit into a part or the message
	 * needs more than {@link MessagePart#MAX_COUNT} parts
	 */
	static Optional<List<byte[]>> encode(AllowanceMessage message, int maxBytes) {
		int roomBytes = maxBytes - FRAME_BYTES - message.head().size() * MAX_NUMBER_BYTES;
		List<List<WorkspaceAmounts>> groups = new ArrayList<>(List.of(new ArrayList<>()));
		int usedBytes = 0;
		for (WorkspaceAmounts amounts : message.amounts()) {
			int bytes = entryBytes(amounts);
			if (bytes > roomBytes) {
				return Optional.empty();
			}
			if (usedBytes + bytes > roomBytes) {
				groups.add(new ArrayList<>());
				usedBytes = 0;
			}
			groups.get(groups.size() - 1).add(amounts);
			usedBytes += bytes;
		}
		if (groups.size() > MessagePart.MAX_COUNT) {
			return Optional.empty();
		}
		return Optional.of(IntStream.range(0, groups.size())
			.mapToObj((index) -> write(new MessagePart(message.head(), index, groups.size(), groups.get(index))))
			.toList());
	}

	// With quotes, brackets and the commas.
	private static int entryBytes(WorkspaceAmounts amounts) {
		return nameBytes(amounts.workspace()) + 5
				+ amounts.values().stream().mapToInt((value) -> Long.toString(value).length() + 1).sum();
	}

	private static byte[] write(MessagePart part) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (JsonGenerator json = MAPPER.createGenerator(out)) {
			json.writeStartObject();
			json.writeFieldName("h");
			json.writeArray(toArray(part.head()), 0, part.head().size());
			json.writeFieldName("p");
			json.writeArray(new int[] { part.index(), part.count() }, 0, 2);
			json.writeArrayFieldStart("e");
			for (WorkspaceAmounts amounts : part.amounts()) {
				json.writeStartArray();
				json.writeString(amounts.workspace());
				for (long value : amounts.values()) {
					json.writeNumber(value);
				}
				json.writeEndArray();
			}
			json.writeEndArray();
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new IllegalStateException("A message could not be written as JSON", ex);
		}
		return out.toByteArray();
	}

	private static long[] toArray(List<Long> values) {
		return values.stream().mapToLong(Long::longValue).toArray();
	}

	/**
	 * Decodes a part.
	 * @param payload the bytes received
	 * @return the part, or empty if they hold none
	 */
	static Optional<MessagePart> decode(byte[] payload) {
		try {
			return read(MAPPER.readTree(payload));
		}
		catch (IOException ex) {
			// The receiver counts and logs parts that are not readable.
			return Optional.empty();
		}
	}

	private static Optional<MessagePart> read(JsonNode root) {
		Optional<List<Long>> head = readNumbers(root.path("h"), 0);
		Optional<List<Long>> position = readNumbers(root.path("p"), 0).filter((numbers) -> numbers.size() == 2
				&& numbers.get(1) <= MessagePart.MAX_COUNT && numbers.get(0) < numbers.get(1));
		if (head.isEmpty() || position.isEmpty() || !root.path("e").isArray()) {
			return Optional.empty();
		}
		List<Optional<WorkspaceAmounts>> amounts = stream(root.path("e")).map(MessageFormat::readAmounts).toList();
		if (amounts.stream().anyMatch(Optional::isEmpty)) {
			return Optional.empty();
		}
		return Optional.of(new MessagePart(head.get(), position.get().get(0).intValue(),
				position.get().get(1).intValue(), amounts.stream().flatMap(Optional::stream).toList()));
	}

	private static Optional<WorkspaceAmounts> readAmounts(JsonNode entry) {
		return entry.path(0).isTextual()
				? readNumbers(entry, 1).map((values) -> new WorkspaceAmounts(entry.path(0).textValue(), values))
				: Optional.empty();
	}

	// None of the numbers has a meaning if it is negative.
	private static Optional<List<Long>> readNumbers(JsonNode array, int from) {
		boolean valid = array.isArray() && stream(array).skip(from)
			.allMatch((node) -> node.isIntegralNumber() && node.canConvertToLong() && node.longValue() >= 0);
		return valid ? Optional.of(stream(array).skip(from).map(JsonNode::longValue).collect(Collectors.toList()))
				: Optional.empty();
	}

	private static Stream<JsonNode> stream(JsonNode array) {
		return StreamSupport.stream(array.spliterator(), false);
	}

}
