package io.anvilusher.protocol.codec;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;

import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fact.LogRecord;

/**
 * Turns log records and folded states into bytes and back.
 */
public final class RecordCodec {

	private RecordCodec() {
	}

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return its bytes, which are JSON in UTF-8
	 */
	public static byte[] encode(LogRecord record) {
		return write(record);
	}

	/**
	 * Decodes a record.
	 * @param bytes the bytes
	 * @return the record, or empty if the bytes are not a record that this release knows
	 */
	public static Optional<LogRecord> decode(byte[] bytes) {
		return read(bytes, LogRecord.class);
	}

	/**
	 * Encodes a state. Equal states give equal bytes.
	 * @param state the state
	 * @return its bytes, which are JSON in UTF-8
	 */
	public static byte[] encodeState(ControlState state) {
		return write(state);
	}

	/**
	 * Decodes a state.
	 * @param bytes the bytes
	 * @return the state, or empty if the bytes are not a state that this release knows
	 */
	public static Optional<ControlState> decodeState(byte[] bytes) {
		return read(bytes, ControlState.class);
	}

	private static byte[] write(Object value) {
		try {
			return JsonMappers.model().writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Values of the model can be written as JSON", ex);
		}
	}

	private static <T> Optional<T> read(byte[] bytes, Class<T> type) {
		try {
			return Optional.ofNullable(JsonMappers.model().readValue(bytes, type));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
