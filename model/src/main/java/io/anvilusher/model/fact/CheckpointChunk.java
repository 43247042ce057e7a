package io.anvilusher.model.fact;

/**
 * A part of the folded state, written back before the records it stands for expire.
 *
 * @param checkpointId id of the checkpoint
 * @param lease lease under which the controller acts
 * @param term term of that lease
 * @param throughOffset newest offset folded into the state
 * @param index place of the part, counted from 0
 * @param count number of parts
 * @param data the part, in Base64
 */
public record CheckpointChunk(String checkpointId, String lease, long term, long throughOffset, int index, int count,
		String data) implements Fact {

}
