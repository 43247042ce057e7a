package io.anvilusher.model.lease;

/**
 * A lease as the log tells it.
 *
 * @param name its name
 * @param holder incarnation of the process that claimed it last
 * @param term offset of that claim, which is the fencing token
 * @param lastOffset offset of the lease's newest accepted record
 * @param lastRecordId id of that record
 * @param durationMs how long each claim or renewal lasts
 * @param released whether the holder gave it back
 */
public record Lease(String name, String holder, long term, long lastOffset, String lastRecordId, long durationMs,
		boolean released) {

}
