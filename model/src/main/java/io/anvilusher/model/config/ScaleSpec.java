package io.anvilusher.model.config;

/**
 * How many backend servers a service may have in each data centre.
 *
 * @param minServers fewest servers
 * @param maxServers most servers
 * @param goodputWeight weight of goodput against cost; 1 weighs them alike
 */
public record ScaleSpec(int minServers, int maxServers, double goodputWeight) {

	/** A fleet that the operator sizes by hand. */
	public static final ScaleSpec UNMANAGED = new ScaleSpec(0, 0, 1);

	/**
	 * Tells whether the system orders and releases the servers of the fleet.
	 * @return whether it does; not while no server is allowed at all
	 */
	public boolean isManaged() {
		return this.maxServers > 0;
	}

}
