package io.anvilusher.gateway.fleet;

import java.util.concurrent.CompletableFuture;

/**
 * Brings up to date what this gateway knows of the servers.
 */
@FunctionalInterface
public interface ServerCatchUp {

	/**
	 * Reads the registrations that the store accepted before this call.
	 * @return whether all of them are known now; false if the store does not answer.
	 * Completes on the traffic thread, never exceptionally
	 */
	CompletableFuture<Boolean> catchUp();

}
