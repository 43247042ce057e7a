package io.anvilusher.adapters.process;

import java.util.UUID;

/**
 * Who this process is.
 *
 * @param name name from its settings
 * @param incarnation random at each start
 * @param dataCentre data centre from its settings
 */
public record ProcessIdentity(String name, String incarnation, String dataCentre) {

	/**
	 * Creates the identity of a process that starts now.
	 * @param name name from its settings
	 * @param dataCentre data centre from its settings
	 * @return the identity
	 */
	public static ProcessIdentity start(String name, String dataCentre) {
		return new ProcessIdentity(name, name + "-" + UUID.randomUUID(), dataCentre);
	}

}
