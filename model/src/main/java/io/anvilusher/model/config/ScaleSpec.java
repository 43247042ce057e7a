package io.anvilusher.model.config;

/**
 * Limits on the number of backend servers that a service has in each data centre.
 *
 * @param minServers smallest number of servers
 * @param maxServers largest number of servers; 0 if the system does not manage the fleet
 * @param goodputWeight weight of goodput relative to cost; 1 gives them the same weight
 */
public record ScaleSpec(int minServers, int maxServers, double goodputWeight) {

	/** The limits of a fleet whose size the operator sets manually. */
	public static final ScaleSpec UNMANAGED = new ScaleSpec(0, 0, 1);

	/**
	 * Returns whether the system orders and releases the servers of the fleet.
	 * @return whether {@code maxServers} is greater than 0
	 */
	public boolean isManaged() {
		return this.maxServers > 0;
	}

}
