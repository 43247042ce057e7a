package io.anvilusher.model.fact;

/**
 * The platform has accepted the report of a usage window.
 *
 * @param window number of the window
 * @param lease lease under which the controller acted when it appended the fact
 * @param term term of that lease; the fact has no effect if the term is no longer current
 */
public record UsageReported(long window, String lease, long term) implements Fact {

}
