package io.anvilusher.adapters.process;

import java.util.UUID;

/**
 * Identity of this process.
 *
 * @param name name from its settings
 * @param incarnation name with a random suffix that is new at each start, by which other
 * processes detect a restart
 * @param dataCentre data centre from its settings
 */
public record ProcessIdentity(String name, String incarnation, String dataCentre) {

	/**
	 * Creates the identity of a starting process, with a new incarnation.
	 * @param name name from its settings
	 * @param dataCentre data centre from its settings
	 * @return the identity
	 */
	public static ProcessIdentity start(String name, String dataCentre) {
		return new ProcessIdentity(name, name + "-" + UUID.randomUUID(), dataCentre);
	}

}
