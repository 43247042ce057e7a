package io.anvilusher.model.config;

/**
 * The latencies that callers of a service expect.
 *
 * @param firstTokenMs time in ms from the request to the first token, or to the head of
 * the response if it has no tokens
 * @param betweenTokensMs time in ms between two tokens
 * @param deadlineMs time in ms from the request to the end of the response
 */
public record LatencyTargets(long firstTokenMs, long betweenTokensMs, long deadlineMs) {

}
