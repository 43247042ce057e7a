package io.anvilusher.model.fact;

/**
 * The holder gives its lease back ahead of time.
 *
 * @param lease name of the lease
 * @param term term of the lease
 */
public record LeaseReleased(String lease, long term) implements Fact {

}
