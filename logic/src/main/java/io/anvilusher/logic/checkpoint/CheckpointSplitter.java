package io.anvilusher.logic.checkpoint;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;

import io.anvilusher.model.fact.CheckpointChunk;

/**
 * Splits a serialized state into the chunks of a checkpoint, each of which is one record
 * of the log.
 */
public final class CheckpointSplitter {

	/** Largest size of a chunk's data before it is encoded in Base64. */
	private static final int CHUNK_BYTES = 48 * 1024;

	private CheckpointSplitter() {
	}

	/**
	 * Splits a state into chunks.
	 * @param checkpointId random id of the checkpoint
	 * @param lease lease under which the checkpoint is written
	 * @param term term of that lease
	 * @param throughOffset offset of the newest record that is folded into the state
	 * @param state the serialized state
	 * @return the chunks in order; one chunk for an empty state
	 */
	public static List<CheckpointChunk> split(String checkpointId, String lease, long term, long throughOffset,
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
