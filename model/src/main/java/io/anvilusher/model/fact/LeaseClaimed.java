package io.anvilusher.model.fact;

/**
 * A process claims a lease. The claim's offset becomes the term and the fencing token.
 *
 * @param lease name of the lease
 * @param holder incarnation of the claiming process
 * @param basedOnOffset offset of the lease's newest record that the claimant had read; 0
 * when there was none
 * @param durationMs how long the lease lasts, counted by its holder from before the claim
 * or renewal was sent
 */
public record LeaseClaimed(String lease, String holder, long basedOnOffset, long durationMs) implements Fact {

}
