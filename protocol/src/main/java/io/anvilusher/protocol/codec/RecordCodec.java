package io.anvilusher.protocol.codec;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;

import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fact.LogRecord;

/**
 * Encodes and decodes records of the control log and the folded control state.
 */
public final class RecordCodec {

	private RecordCodec() {
	}

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return the record as JSON in UTF-8
	 */
	public static byte[] encode(LogRecord record) {
		return write(record);
	}

	/**
	 * Decodes a record.
	 * @param bytes the encoded record
	 * @return the record, or empty if this release cannot decode it, for example because
	 * it was written by a newer release
	 */
	public static Optional<LogRecord> decode(byte[] bytes) {
		return read(bytes, LogRecord.class);
	}

	/**
	 * Encodes a control state. Equal states have equal encodings.
	 * @param state the state
	 * @return the state as JSON in UTF-8
	 */
	public static byte[] encodeState(ControlState state) {
		return write(state);
	}

	/**
	 * Decodes a control state.
	 * @param bytes the encoded state
	 * @return the state, or empty if this release cannot decode it
	 */
	public static Optional<ControlState> decodeState(byte[] bytes) {
		return read(bytes, ControlState.class);
	}

	private static byte[] write(Object value) {
		try {
			return JsonMappers.model().writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Cannot write a value of the model as JSON", ex);
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
