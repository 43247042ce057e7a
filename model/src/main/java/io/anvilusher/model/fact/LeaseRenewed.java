package io.anvilusher.model.fact;

/**
 * The holder renews its lease for another lease duration.
 *
 * @param lease name of the lease
 * @param term term under which the holder has the lease
 */
public record LeaseRenewed(String lease, long term) implements Fact {

}
