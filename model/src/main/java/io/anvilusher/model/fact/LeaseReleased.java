package io.anvilusher.model.fact;

/**
 * The holder releases its lease before it ends, so that another process can claim it
 * without waiting.
 *
 * @param lease name of the lease
 * @param term term under which the holder has the lease
 */
public record LeaseReleased(String lease, long term) implements Fact {

}
