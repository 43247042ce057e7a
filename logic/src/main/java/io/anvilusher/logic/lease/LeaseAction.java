package io.anvilusher.logic.lease;

import io.anvilusher.model.fact.Fact;

/**
 * A record that a process shall append for its lease.
 *
 * @param recordId id of the record
 * @param fact the claim, renewal or release
 */
public record LeaseAction(String recordId, Fact fact) {

}
