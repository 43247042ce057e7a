package io.anvilusher.logic.retry;

/**
 * How far a request has come.
 *
 * @param repeatable whether it may run more than once
 * @param mayHaveRun whether an attempt before may have run
 * @param committed whether a part of an answer has gone to the caller
 * @param attempts number of attempts made
 * @param remainingMs time left until its deadline
 * @param suspect whether it may crash its server and has to wait to run alone
 */
public record RequestProgress(boolean repeatable, boolean mayHaveRun, boolean committed, int attempts, long remainingMs,
		boolean suspect) {

}
