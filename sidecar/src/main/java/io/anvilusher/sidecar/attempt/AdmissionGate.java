package io.anvilusher.sidecar.attempt;

import java.util.Optional;

import io.anvilusher.model.request.AttemptFailure;

/**
 * Admission control for attempts on the backend server. A suspect, which is a request
 * suspected of crashing servers, runs alone: it starts when the attempts before it have
 * ended, and new attempts are refused until it has ended itself.
 */
public final class AdmissionGate {

	private int slots = 1;

	private int running;

	private boolean stopping;

	private boolean leaving;

	private boolean reachable = true;

	private boolean changing;

	private boolean suspectAdmitted;

	private Optional<Runnable> waitingSuspect = Optional.empty();

	/**
	 * Admits an attempt if the server accepts one. {@link #release()} has to be called
	 * when the attempt has ended.
	 * @return why the attempt is refused, or empty if it is admitted
	 */
	public synchronized Optional<AttemptFailure> admit() {
		Optional<AttemptFailure> refusal = refusal();
		if (refusal.isEmpty()) {
			this.running++;
		}
		return refusal;
	}

	/**
	 * Admits a suspect, to run when no other attempt is running.
	 * @param start starts the suspect; called at once or, when the last running attempt
	 * ends, on the thread that releases it
	 * @return why the suspect is refused, or empty if it is admitted
	 */
	public Optional<AttemptFailure> admitAlone(Runnable start) {
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
	 * Releases the slot of an attempt that has ended. Starts a waiting suspect if no
	 * attempt is running any more.
	 */
	public void release() {
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
	 * Blocks until no attempt is running or waiting.
	 * @param timeoutMs maximum time to wait
	 * @return whether all attempts have ended; false on a timeout
	 * @throws InterruptedException if the thread is interrupted
	 */
	public synchronized boolean awaitIdle(long timeoutMs) throws InterruptedException {
		long deadlineMs = System.nanoTime() / 1_000_000 + timeoutMs;
		while (this.running > 0 || this.waitingSuspect.isPresent()) {
			long remainingMs = deadlineMs - System.nanoTime() / 1_000_000;
			if (remainingMs <= 0) {
				return false;
			}
			wait(remainingMs);
		}
		return true;
	}

	/**
	 * Sets the maximum number of attempts that run concurrently.
	 * @param count number of slots
	 */
	public synchronized void setSlots(int count) {
		this.slots = count;
	}

	/**
	 * Refuses all further attempts because this process is shutting down.
	 */
	public synchronized void stopAdmitting() {
		this.stopping = true;
	}

	/**
	 * Refuses all further attempts because the VM of the server is leaving.
	 */
	public synchronized void setLeaving() {
		this.leaving = true;
	}

	/**
	 * Sets whether the backend server is reachable. While it is not, attempts are
	 * refused.
	 * @param value whether the server is reachable
	 */
	public synchronized void setReachable(boolean value) {
		this.reachable = value;
	}

	/**
	 * Sets whether an order is changing the engine. Meanwhile attempts are refused.
	 * @param value whether an order is changing the engine
	 * @return whether the value differs from the one before
	 */
	public synchronized boolean setChanging(boolean value) {
		boolean changed = this.changing != value;
		this.changing = value;
		return changed;
	}

	/**
	 * Returns a consistent snapshot of the current state.
	 * @return the snapshot
	 */
	public synchronized Snapshot snapshot() {
		return new Snapshot(this.running, this.slots, this.stopping || this.leaving || this.changing, this.reachable);
	}

	/**
	 * State of the admission control at one moment.
	 *
	 * @param running number of running attempts
	 * @param slots maximum number of attempts that run concurrently
	 * @param draining whether new attempts are refused because of a shutdown, a leaving
	 * VM or an order
	 * @param reachable whether the backend server is reachable
	 */
	public record Snapshot(int running, int slots, boolean draining, boolean reachable) {

	}

}
