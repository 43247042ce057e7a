package io.anvilusher.proofs;

/**
 * Faults that the brief names, and the plain case.
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

	/** An answer of the platform is lost after the call took effect. */
	LOST_ANSWER,

	/** An answer or message comes late, crossed or twice. */
	LATE_MESSAGE,

	/** The platform's log is down. */
	LOG_OUTAGE,

	/** A backend server crashes. */
	ENGINE_CRASH,

	/** Two operators or candidates race. */
	RACE,

	/** A planned stop or replacement. */
	PLANNED_STOP

}
