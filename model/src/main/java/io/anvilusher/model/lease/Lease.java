package io.anvilusher.model.lease;

/**
 * The state of a lease according to the control log.
 *
 * @param name name of the lease
 * @param holder incarnation of the process whose claim was accepted last
 * @param term offset of that claim, which is the fencing token
 * @param lastOffset offset of the lease's newest accepted record
 * @param lastRecordId id of that record
 * @param durationMs how long the claim and each renewal lasts, in ms
 * @param released whether the holder has released the lease
 */
public record Lease(String name, String holder, long term, long lastOffset, String lastRecordId, long durationMs,
		boolean released) {

}
