package io.anvilusher.logic.checkpoint;

/**
 * A whole checkpoint.
 *
 * @param throughOffset newest offset folded into the state
 * @param bytes bytes of the state
 */
public record Checkpoint(long throughOffset, byte[] bytes) {

}
