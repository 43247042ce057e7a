package io.anvilusher.logic.admission;

/**
 * Decides which requests a stopping process still accepts. It is designed for restarts of
 * all processes in turn while streams last for seconds: a process that has to wait for
 * its streams goes on serving requests that will end before it does, since the processes
 * before and after it are stopping or starting too.
 *
 * @param acceptAllUntilMs time until which all requests are accepted, by the monotonic
 * clock
 * @param endsAtMs time at which the process ends whatever is still in progress, by the
 * monotonic clock
 */
public record DrainAdmission(long acceptAllUntilMs, long endsAtMs) {

	/** Reserved for sending the last responses. */
	static final long RESERVE_MS = 300;

	/**
	 * Returns whether a request is accepted.
	 * @param nowMs current time of the monotonic clock
	 * @param timeoutAtMs time at which the request gets its final response at the latest
	 * @param waiting whether requests that arrived before {@link #acceptAllUntilMs} are
	 * still in progress, so that the process cannot end yet
	 * @return whether the request is accepted; if not, another process has to serve it
	 */
	public boolean accepts(long nowMs, long timeoutAtMs, boolean waiting) {
		return nowMs < this.acceptAllUntilMs || (waiting && timeoutAtMs <= this.endsAtMs - RESERVE_MS);
	}

	/**
	 * Returns whether the process may end.
	 * @param nowMs current time of the monotonic clock
	 * @param activeRequests number of requests in progress
	 * @return whether nothing is left to do or to wait for
	 */
	public boolean mayEnd(long nowMs, int activeRequests) {
		return nowMs >= this.endsAtMs || (nowMs >= this.acceptAllUntilMs && activeRequests == 0);
	}

}
