package io.anvilusher.gateway.allowance;

import io.anvilusher.logic.allowance.AllowanceCharge;

/**
 * The charge of a request whose workspace has a limit.
 */
public final class CountedCharge implements RequestCharge {

	private final AllowanceGuard guard;

	private final AllowanceCharge charge;

	private int possibleRuns;

	private boolean ended;

	/**
	 * Creates the charge of an admitted request.
	 * @param guard the guard that admitted it
	 * @param charge what the guard counted
	 */
	public CountedCharge(AllowanceGuard guard, AllowanceCharge charge) {
		this.guard = guard;
		this.charge = charge;
	}

	@Override
	public void onSending() {
		// The request is not sent if the guard throws.
		this.guard.markSent(this.charge);
		this.possibleRuns++;
	}

	@Override
	public void onNotRun() {
		this.possibleRuns--;
	}

	@Override
	public void end() {
		if (this.ended) {
			return;
		}
		if (this.possibleRuns == 0) {
			this.guard.giveBack(this.charge);
		}
		// After an exception of the guard, the step that ends the request calls again.
		this.ended = true;
	}

}
