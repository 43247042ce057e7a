package io.anvilusher.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.gateway.wire.ResponseHead;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Client of the model engines' control interface.
 */
public interface EngineControlClient {

	/**
	 * Requests the state of an engine.
	 * @param engine the engine
	 * @return the state, which may be some hundred ms old, or empty without a usable
	 * response; completes normally in any case
	 */
	CompletableFuture<Optional<EngineReport>> report(RegisteredServer engine);

	/**
	 * Tries to open a new connection to a server.
	 * @param server the server, which need not be an engine
	 * @return whether the connection was opened, even if the server resets it afterwards;
	 * completes exceptionally if this process failed to try
	 */
	CompletableFuture<Boolean> acceptsConnections(RegisteredServer server);

	/**
	 * Orders an engine to change its role.
	 * @param engine the engine
	 * @param role the new role
	 * @param issuer the issuer of the order
	 * @param ordersBefore number of orders that the engine has accepted so far; the
	 * engine refuses the order if its own count differs
	 * @return the outcome; completes normally in any case
	 */
	CompletableFuture<Outcome> changeRole(RegisteredServer engine, EngineRole role, OrderIssuer issuer,
			long ordersBefore);

	/**
	 * The state that an engine reports.
	 *
	 * @param role its current role
	 * @param changing whether it is carrying out an order
	 * @param ordersAccepted number of orders accepted since its start
	 * @param requests number of running and queued requests
	 * @param startedAtMs time at which it started, in ms since 1970; 0 if it does not say
	 */
	record EngineReport(EngineRole role, boolean changing, long ordersAccepted, int requests, long startedAtMs) {

	}

	/**
	 * The process that issues an order.
	 *
	 * @param holderName name of the process
	 * @param fencingToken fencing token under which it holds the duties
	 */
	record OrderIssuer(String holderName, long fencingToken) {

	}

	/**
	 * The outcome of an order.
	 */
	enum Outcome {

		/** The engine accepted the order, or had the role already. */
		ACCEPTED,

		/**
		 * The engine is carrying out another order, or has accepted other orders in the
		 * meantime.
		 */
		CONFLICT,

		/** The engine has seen a higher fencing token. */
		FENCED,

		/** The engine refused the order for another reason. */
		REFUSED,

		/** The order was not sent, because the engine takes no requests. */
		HELD_BACK,

		/** It is unknown whether the engine received the order. */
		UNKNOWN

	}

	/**
	 * Receives the heads of the engines' responses.
	 */
	@FunctionalInterface
	interface HeadListener {

		/**
		 * Called with each response.
		 * @param engine the engine that was called
		 * @param head head of the response
		 * @param path path of the call
		 */
		void onHead(RegisteredServer engine, ResponseHead head, String path);

	}

}
