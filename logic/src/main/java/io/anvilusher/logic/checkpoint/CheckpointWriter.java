package io.anvilusher.logic.checkpoint;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

import io.anvilusher.model.fact.CheckpointChunk;

/**
 * Cuts a state into the records of a checkpoint.
 */
public final class CheckpointWriter {

	/** Largest part, before it is written in Base64. */
	private static final int CHUNK_BYTES = 48 * 1024;

	private CheckpointWriter() {
	}

	/**
	 * Cuts a state.
	 * @param checkpointId random id of the checkpoint
	 * @param lease lease under which it is written
	 * @param term term of that lease
	 * @param throughOffset newest offset folded into the state
	 * @param state bytes of the state
	 * @return the records, in order
	 */
	public static List<CheckpointChunk> cut(String checkpointId, String lease, long term, long throughOffset,
			byte[] state) {
		int count = Math.max(1, (state.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
		List<CheckpointChunk> chunks = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			int from = index * CHUNK_BYTES;
			byte[] part = Arrays.copyOfRange(state, from, Math.min(state.length, from + CHUNK_BYTES));
			chunks.add(new CheckpointChunk(checkpointId, lease, term, throughOffset, index, count,
					Base64.getEncoder().encodeToString(part)));
		}
		return chunks;
	}

}
