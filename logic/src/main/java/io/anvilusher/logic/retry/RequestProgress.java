package io.anvilusher.logic.retry;

/**
 * State of a request that decides whether a failed attempt can be retried.
 *
 * @param repeatable whether the request may run more than once
 * @param mayHaveRun whether one of its attempts may have run
 * @param committed whether part of a response was sent to the caller
 * @param attempts number of attempts so far
 * @param remainingMs time left until the deadline
 * @param suspect whether the request is suspected of crashing servers, so that it has to
 * wait until it can run alone on a server
 */
public record RequestProgress(boolean repeatable, boolean mayHaveRun, boolean committed, int attempts, long remainingMs,
		boolean suspect) {

}
