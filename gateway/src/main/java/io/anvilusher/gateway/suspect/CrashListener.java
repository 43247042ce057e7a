package io.anvilusher.gateway.suspect;

import java.util.Set;

import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Is notified of confirmed crashes of servers, on the traffic thread.
 */
@FunctionalInterface
interface CrashListener {

	/**
	 * Called when a crash is confirmed, and again if more connections turn out to have
	 * been lost in it.
	 * @param server the server
	 * @param subjects subjects of the requests of this gateway that had no result yet
	 */
	void onCrash(RegisteredServer server, Set<String> subjects);

}
