package io.anvilusher.model.config;

/**
 * What callers of a service expect.
 *
 * @param firstTokenMs time from request to first token, or to the answer's head
 * @param betweenTokensMs time between two tokens
 * @param deadlineMs time from request to the answer's end
 */
public record Targets(long firstTokenMs, long betweenTokensMs, long deadlineMs) {

}
