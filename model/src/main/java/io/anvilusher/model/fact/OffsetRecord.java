package io.anvilusher.model.fact;

/**
 * A record together with its offset in the log.
 *
 * @param offset offset of the record; the first record of a log has offset 1
 * @param record the record
 */
public record OffsetRecord(long offset, LogRecord record) {

}
