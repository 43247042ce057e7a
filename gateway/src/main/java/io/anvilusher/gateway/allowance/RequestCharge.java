package io.anvilusher.gateway.allowance;

/**
 * What a request has been charged to the allowance of its workspace. Used on the traffic
 * thread.
 */
public interface RequestCharge {

	/** The charge of a request whose workspace has no limit. */
	RequestCharge NONE = new RequestCharge() {

		@Override
		public void onSending() {
			// Nothing is counted.
		}

		@Override
		public void onNotRun() {
			// Nothing is counted.
		}

		@Override
		public void end() {
			// Nothing is counted.
		}

	};

	/**
	 * Records that an attempt begins to send the request to a server.
	 */
	void onSending();

	/**
	 * Records that an attempt that began to send did not run and never will.
	 */
	void onNotRun();

	/**
	 * Ends the request: its cost is returned if no attempt may have run. Calls after the
	 * first one have no effect.
	 */
	void end();

}
