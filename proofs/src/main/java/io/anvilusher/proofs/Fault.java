package io.anvilusher.proofs;

/**
 * Faults under which tests check the promises, and the case without a fault.
 */
public enum Fault {

	/** Nothing fails. */
	NONE,

	/** A process is killed. */
	KILL,

	/** A process is paused and resumed, for longer than a lease where one is held. */
	PAUSE,

	/** A process is cut off from some or all others, in one or both directions. */
	PARTITION,

	/** A response of the platform is lost after its request took effect. */
	LOST_ANSWER,

	/** A response or message arrives late, out of order or twice. */
	LATE_MESSAGE,

	/** The platform's log is down. */
	LOG_OUTAGE,

	/** A backend server crashes. */
	ENGINE_CRASH,

	/** Two operators, or two candidates for a lease, act at the same time. */
	RACE,

	/** A process is stopped or replaced on purpose. */
	PLANNED_STOP

}
