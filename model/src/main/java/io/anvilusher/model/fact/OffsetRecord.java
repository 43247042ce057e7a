package io.anvilusher.model.fact;

/**
 * A record at its place in the log.
 *
 * @param offset the place; the first record of a log has offset 1
 * @param record the record
 */
public record OffsetRecord(long offset, LogRecord record) {

}
