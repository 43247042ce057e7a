package io.anvilusher.sidecar.attempt;

import java.util.Optional;

import io.anvilusher.model.request.AttemptFailure;

/**
 * Decides whether the backend server takes another attempt. A suspect, which may crash
 * the server, runs alone: new attempts are refused until it has ended, and it starts when
 * the attempts before it have ended.
 */
public final class ServerGate {

	private int slots = 1;

	private int running;

	private boolean stopping;

	private boolean leaving;

	private boolean reachable = true;

	private boolean changing;

	private boolean suspectAdmitted;

	private Optional<Runnable> waitingSuspect = Optional.empty();

	/**
	 * Takes an attempt in, if the server takes any.
	 * @return why the attempt is refused, or empty if it may run
	 */
	public synchronized Optional<AttemptFailure> enter() {
		Optional<AttemptFailure> refusal = refusal();
		if (refusal.isEmpty()) {
			this.running++;
		}
		return refusal;
	}

	/**
	 * Takes a suspect in, to run when no other attempt does.
	 * @param start starts the suspect
	 * @return why the suspect is refused, or empty if it was taken in
	 */
	public Optional<AttemptFailure> enterAlone(Runnable start) {
		synchronized (this) {
			Optional<AttemptFailure> refusal = refusal();
			if (refusal.isPresent()) {
				return refusal;
			}
			this.suspectAdmitted = true;
			this.waitingSuspect = Optional.of(start);
		}
		startWaitingSuspect();
		return Optional.empty();
	}

	private Optional<AttemptFailure> refusal() {
		if (this.stopping || this.leaving || this.changing) {
			return Optional.of(AttemptFailure.SERVER_DRAINING);
		}
		if (!this.reachable) {
			return Optional.of(AttemptFailure.SERVER_UNREACHABLE);
		}
		if (this.suspectAdmitted || this.running >= this.slots) {
			return Optional.of(AttemptFailure.SERVER_FULL);
		}
		return Optional.empty();
	}

	/**
	 * Notes the end of an attempt.
	 */
	public void leave() {
		synchronized (this) {
			this.running--;
			if (this.running == 0 && this.waitingSuspect.isEmpty()) {
				this.suspectAdmitted = false;
			}
			notifyAll();
		}
		startWaitingSuspect();
	}

	private void startWaitingSuspect() {
		Optional<Runnable> start;
		synchronized (this) {
			if (this.running > 0 || this.waitingSuspect.isEmpty()) {
				return;
			}
			start = this.waitingSuspect;
			this.waitingSuspect = Optional.empty();
			this.running++;
		}
		start.get().run();
	}

	/**
	 * Waits until no attempt runs.
	 * @param timeoutMs longest time to wait
	 * @return whether none runs
	 * @throws InterruptedException if the thread is interrupted
	 */
	public synchronized boolean awaitIdle(long timeoutMs) throws InterruptedException {
		long untilMs = System.nanoTime() / 1_000_000 + timeoutMs;
		while (this.running > 0 || this.waitingSuspect.isPresent()) {
			long leftMs = untilMs - System.nanoTime() / 1_000_000;
			if (leftMs <= 0) {
				return false;
			}
			wait(leftMs);
		}
		return true;
	}

	/**
	 * Sets how many attempts run at once.
	 * @param count the number
	 */
	public synchronized void setSlots(int count) {
		this.slots = count;
	}

	/**
	 * Refuses all further attempts, because this process stops.
	 */
	public synchronized void stop() {
		this.stopping = true;
	}

	/**
	 * Refuses all further attempts, because the server's VM is leaving.
	 */
	public synchronized void setLeaving() {
		this.leaving = true;
	}

	/**
	 * Sets whether the server takes connections.
	 * @param value whether it does
	 */
	public synchronized void setReachable(boolean value) {
		this.reachable = value;
	}

	/**
	 * Sets whether the engine is being changed by an order.
	 * @param value whether it is
	 * @return whether that is a change
	 */
	public synchronized boolean setChanging(boolean value) {
		boolean changed = this.changing != value;
		this.changing = value;
		return changed;
	}

	/**
	 * Returns what the gate is like now.
	 * @return the view
	 */
	public synchronized View view() {
		return new View(this.running, this.slots, this.stopping || this.leaving || this.changing, this.reachable);
	}

	/**
	 * The gate at a moment.
	 *
	 * @param running attempts that run
	 * @param slots attempts that may run at once
	 * @param draining whether no new attempts are taken
	 * @param reachable whether the server takes connections
	 */
	public record View(int running, int slots, boolean draining, boolean reachable) {

	}

}
