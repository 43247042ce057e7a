package io.anvilusher.model.fact;

/**
 * One chunk of a checkpoint of the control state. Checkpoints are appended before the
 * platform's log drops the records that they replace.
 *
 * @param checkpointId id of the checkpoint
 * @param lease lease under which the controller wrote the checkpoint
 * @param term term of that lease
 * @param throughOffset offset of the newest record that is folded into the state
 * @param index index of the chunk, counted from 0
 * @param count number of chunks of the checkpoint
 * @param data the data of the chunk, in Base64
 */
public record CheckpointChunk(String checkpointId, String lease, long term, long throughOffset, int index, int count,
		String data) implements Fact {

}
