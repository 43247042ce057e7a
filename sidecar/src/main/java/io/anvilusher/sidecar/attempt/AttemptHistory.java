package io.anvilusher.sidecar.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.protocol.generated.PeerMessages.AttemptVerdict;

/**
 * Stores the state of recent attempts, so that an attempt id starts at most once and
 * entries can query the outcome. An attempt that is sealed before it starts never starts.
 * Attempts are removed after a retention time, or earlier if there are too many, but
 * never while they are running.
 */
public final class AttemptHistory {

	private static final long RETENTION_MS = 600_000;

	private static final int MAX_ENTRIES = 20_000;

	private final MonotonicClock clock;

	private final Map<String, AttemptVerdict> verdicts = new HashMap<>();

	private final Deque<Retained> retained = new ArrayDeque<>();

	/**
	 * Creates an empty history.
	 * @param clock the clock for the retention time
	 */
	public AttemptHistory(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Registers an attempt as running before it is started.
	 * @param attemptId id of the attempt
	 * @return whether the attempt may start; false if it was started before or is sealed
	 */
	public synchronized boolean start(String attemptId) {
		if (this.verdicts.containsKey(attemptId)) {
			return false;
		}
		put(attemptId, AttemptVerdict.State.RUNNING);
		return true;
	}

	/**
	 * Ensures that an attempt never starts, unless it has already started.
	 * @param attemptId id of the attempt
	 * @return the state of the attempt; {@code NEVER_STARTED} if it is sealed
	 */
	public synchronized AttemptVerdict seal(String attemptId) {
		if (!this.verdicts.containsKey(attemptId)) {
			put(attemptId, AttemptVerdict.State.NEVER_STARTED);
		}
		return this.verdicts.get(attemptId);
	}

	/**
	 * Returns the stored state of an attempt.
	 * @param attemptId id of the attempt
	 * @return the state, or empty if none is stored
	 */
	public synchronized Optional<AttemptVerdict> find(String attemptId) {
		return Optional.ofNullable(this.verdicts.get(attemptId));
	}

	/**
	 * Stores the outcome of an attempt that has ended.
	 * @param verdict the outcome
	 */
	public synchronized void finish(AttemptVerdict verdict) {
		this.verdicts.replace(verdict.getAttemptId(), verdict);
	}

	private void put(String attemptId, AttemptVerdict.State state) {
		long nowMs = this.clock.nowMs();
		this.verdicts.put(attemptId, AttemptVerdict.newBuilder().setAttemptId(attemptId).setState(state).build());
		this.retained.addLast(new Retained(attemptId, nowMs));
		while (!this.retained.isEmpty() && isExpired(this.retained.getFirst(), nowMs)) {
			this.verdicts.remove(this.retained.removeFirst().attemptId());
		}
	}

	private boolean isExpired(Retained retained, long nowMs) {
		boolean running = this.verdicts.get(retained.attemptId()).getState() == AttemptVerdict.State.RUNNING;
		boolean old = nowMs - retained.addedAtMs() > RETENTION_MS || this.retained.size() > MAX_ENTRIES;
		return old && !running;
	}

	private record Retained(String attemptId, long addedAtMs) {

	}

}
