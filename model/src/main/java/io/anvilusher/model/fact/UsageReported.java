package io.anvilusher.model.fact;

/**
 * The platform has taken the report of a window.
 *
 * @param window number of the window
 * @param lease lease under which the controller acts
 * @param term term of that lease
 */
public record UsageReported(long window, String lease, long term) implements Fact {

}
