package io.anvilusher.logic.lease;

import io.anvilusher.model.fact.Fact;

/**
 * A record that a process must append to the log to claim, renew or release a lease.
 *
 * @param recordId id of the record
 * @param fact the claim, renewal or release
 */
public record LeaseAction(String recordId, Fact fact) {

}
