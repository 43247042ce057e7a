package io.anvilusher.sidecar.attempt;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.protocol.generated.PeerMessages.AttemptVerdict;

/**
 * Remembers what became of attempts, so that an attempt id starts at most once and others
 * can learn the outcome. An attempt that was sealed before it started never starts.
 */
public final class AttemptLedger {

	private static final long RETENTION_MS = 600_000;

	private static final int MAX_ENTRIES = 20_000;

	private final MonotonicClock clock;

	private final Map<String, AttemptVerdict> verdicts = new HashMap<>();

	private final Deque<Aging> ages = new ArrayDeque<>();

	/**
	 * Creates an empty ledger.
	 * @param clock the clock
	 */
	public AttemptLedger(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Notes that an attempt is about to start.
	 * @param attemptId id of the attempt
	 * @return whether it may; not if it has started before or was sealed
	 */
	public synchronized boolean start(String attemptId) {
		if (this.verdicts.containsKey(attemptId)) {
			return false;
		}
		put(attemptId, AttemptVerdict.State.RUNNING);
		return true;
	}

	/**
	 * Makes sure that an attempt never starts, unless it has.
	 * @param attemptId id of the attempt
	 * @return what is known of it then
	 */
	public synchronized AttemptVerdict seal(String attemptId) {
		if (!this.verdicts.containsKey(attemptId)) {
			put(attemptId, AttemptVerdict.State.NEVER_STARTED);
		}
		return this.verdicts.get(attemptId);
	}

	/**
	 * Returns what is known of an attempt.
	 * @param attemptId id of the attempt
	 * @return what is known, or empty if nothing is
	 */
	public synchronized Optional<AttemptVerdict> find(String attemptId) {
		return Optional.ofNullable(this.verdicts.get(attemptId));
	}

	/**
	 * Notes how an attempt ended.
	 * @param verdict the end
	 */
	public synchronized void finish(AttemptVerdict verdict) {
		this.verdicts.replace(verdict.getAttemptId(), verdict);
	}

	private void put(String attemptId, AttemptVerdict.State state) {
		long nowMs = this.clock.nowMs();
		this.verdicts.put(attemptId, AttemptVerdict.newBuilder().setAttemptId(attemptId).setState(state).build());
		this.ages.addLast(new Aging(attemptId, nowMs));
		while (!this.ages.isEmpty() && isOver(this.ages.getFirst(), nowMs)) {
			this.verdicts.remove(this.ages.removeFirst().attemptId());
		}
	}

	private boolean isOver(Aging aging, long nowMs) {
		boolean running = this.verdicts.get(aging.attemptId()).getState() == AttemptVerdict.State.RUNNING;
		boolean old = nowMs - aging.notedAtMs() > RETENTION_MS || this.ages.size() > MAX_ENTRIES;
		return old && !running;
	}

	private record Aging(String attemptId, long notedAtMs) {

	}

}
