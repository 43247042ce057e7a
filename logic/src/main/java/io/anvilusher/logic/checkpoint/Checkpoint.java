package io.anvilusher.logic.checkpoint;

/**
 * A complete checkpoint of the control state.
 *
 * @param throughOffset offset of the newest record that is folded into the state
 * @param bytes the serialized state
 */
public record Checkpoint(long throughOffset, byte[] bytes) {

}
