package io.anvilusher.model.fact;

/**
 * A process claims a lease. The claim's offset becomes the term and the fencing token.
 *
 * @param lease name of the lease
 * @param holder incarnation of the claiming process
 * @param basedOnOffset offset of the newest record of the lease that the claimant had
 * read; 0 if it had read none
 * @param durationMs how long the claim and each renewal lasts, in ms, which the holder
 * counts from before it sent the record
 */
public record LeaseClaimed(String lease, String holder, long basedOnOffset, long durationMs) implements Fact {

}
