package io.anvilusher.model.fact;

/**
 * A record of the control log, which contains one fact.
 *
 * @param id random id, by which the writer recognizes its own record when it reads the
 * log
 * @param writer incarnation of the process that wrote the record
 * @param fact the fact
 */
public record LogRecord(String id, String writer, Fact fact) {

	public LogRecord {
		if (id.isBlank() || writer.isBlank()) {
			throw new IllegalArgumentException(
					"record id and writer must not be blank: id=\"" + id + "\", writer=\"" + writer + "\"");
		}
	}

}
