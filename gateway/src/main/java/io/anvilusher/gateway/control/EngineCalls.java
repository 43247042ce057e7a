package io.anvilusher.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The control interface of model engines.
 */
public interface EngineCalls {

	/**
	 * Asks an engine for its condition.
	 * @param engine the engine
	 * @return its condition as of some hundred ms ago, or empty without a usable answer;
	 * never fails
	 */
	CompletableFuture<Optional<EngineReport>> report(RegisteredServer engine);

	/**
	 * Orders an engine to change its role.
	 * @param engine the engine
	 * @param role the role
	 * @param duty who orders
	 * @param ordersBefore orders that the engine has accepted so far; with another count
	 * it refuses
	 * @return the outcome; never fails
	 */
	CompletableFuture<Outcome> changeRole(RegisteredServer engine, EngineRole role, ActingDuty duty, long ordersBefore);

	/**
	 * What an engine says of itself.
	 *
	 * @param role its role
	 * @param changing whether it is carrying out an order
	 * @param ordersAccepted orders accepted since its start
	 * @param requests requests that run or wait
	 */
	record EngineReport(EngineRole role, boolean changing, long ordersAccepted, int requests) {

	}

	/**
	 * Who orders.
	 *
	 * @param holderName name of this process
	 * @param fencingToken fencing token of its duty
	 */
	record ActingDuty(String holderName, long fencingToken) {

	}

	/**
	 * How an order ended.
	 */
	enum Outcome {

		/** The engine carries the order out, or had the role already. */
		ACCEPTED,

		/** The engine is busy, or has accepted other orders meanwhile. */
		CONFLICT,

		/** The engine has seen a higher fencing token. */
		FENCED,

		/** The engine refuses for another reason. */
		REFUSED,

		/** It is unknown whether the engine has the order. */
		UNKNOWN

	}

}
