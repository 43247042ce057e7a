package io.anvilusher.model.fact;

/**
 * The holder renews its lease.
 *
 * @param lease name of the lease
 * @param term term of the lease
 */
public record LeaseRenewed(String lease, long term) implements Fact {

}
