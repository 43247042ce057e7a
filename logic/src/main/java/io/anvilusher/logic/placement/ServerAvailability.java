package io.anvilusher.logic.placement;

/**
 * What one incarnation of a server has announced in its responses about new requests.
 * Unlike {@link ServerHealth}, an announcement is binding: the server gets no new
 * requests even if there is no other one. Not safe for use by several threads.
 */
public final class ServerAvailability {

	private boolean leaving;

	/**
	 * Records that the server announced that it is leaving. This holds for the rest of
	 * its incarnation.
	 * @return whether it had not announced this before
	 */
	public boolean onLeaving() {
		boolean first = !this.leaving;
		this.leaving = true;
		return first;
	}

	/**
	 * Returns whether the server is leaving.
	 * @return whether it has announced this
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns whether the server takes new requests.
	 * @return false if it is leaving
	 */
	public boolean isAccepting() {
		return !this.leaving;
	}

	/**
	 * Returns whether there is an announcement to remember.
	 * @return whether the server has ever announced that it is leaving
	 */
	public boolean hasAnnouncement() {
		return this.leaving;
	}

}
