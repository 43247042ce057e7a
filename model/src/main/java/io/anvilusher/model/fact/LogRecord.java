package io.anvilusher.model.fact;

/**
 * A fact as it is appended to the log.
 *
 * @param id random id, by which a writer finds its record again and repeats are dropped
 * @param writer incarnation of the process that wrote the record
 * @param fact the fact
 */
public record LogRecord(String id, String writer, Fact fact) {

	public LogRecord {
		if (id.isBlank() || writer.isBlank()) {
			throw new IllegalArgumentException("A record names its id and its writer");
		}
	}

}
