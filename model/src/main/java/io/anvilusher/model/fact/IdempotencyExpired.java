package io.anvilusher.model.fact;

/**
 * All claims up to an offset are older than the retention period of idempotency keys and
 * are removed.
 *
 * @param lease lease under which the controller acted when it appended the fact
 * @param term term of that lease; the fact has no effect if the term is no longer current
 * @param throughOffset offset up to which claims are removed
 */
public record IdempotencyExpired(String lease, long term, long throughOffset) implements Fact {

}
