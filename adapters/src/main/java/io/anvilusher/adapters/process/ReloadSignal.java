package io.anvilusher.adapters.process;

import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;

/**
 * Receives SIGHUP, by which the operator asks a process to read its settings again. The
 * signal would end a process that does not handle it.
 */
public final class ReloadSignal {

	private final Lock lock = new ReentrantLock();

	private @Nullable Runnable reload;

	private boolean pending;

	private ReloadSignal() {
	}

	/**
	 * Handles the signal from now on. A signal that arrives before the process can reload
	 * is remembered.
	 * @return receives the signals
	 */
	public static ReloadSignal install() {
		ReloadSignal installed = new ReloadSignal();
		Signal.handle(new Signal("HUP"), (signal) -> installed.receive());
		return installed;
	}

	private void receive() {
		this.lock.lock();
		try {
			if (this.reload != null) {
				this.reload.run();
			}
			this.pending = this.reload == null;
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Sets the action for the signal, and runs it once if a signal has arrived before.
	 * @param action reads the settings again; runs on the thread of the signal or of the
	 * caller, never on both at the same time
	 */
	public void onSignal(Runnable action) {
		this.lock.lock();
		try {
			this.reload = action;
			if (this.pending) {
				this.pending = false;
				action.run();
			}
		}
		finally {
			this.lock.unlock();
		}
	}

}
