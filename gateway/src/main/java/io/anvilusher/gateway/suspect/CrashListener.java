package io.anvilusher.gateway.suspect;

import java.util.Map;

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
	 * @param depths subjects of the requests of this gateway that had no whole response
	 * yet, with their positions in the prompt
	 */
	void onCrash(RegisteredServer server, Map<String, Integer> depths);

}
