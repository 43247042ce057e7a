package io.anvilusher.proofs;

/**
 * Steps in the handling of requests and of changes at which a fault can occur.
 */
public enum Step {

	/** A candidate appends a lease claim. */
	LEASE_CLAIM,

	/** A holder appends a renewal of its lease. */
	LEASE_RENEWAL,

	/** The controller appends the intent of an engine order. */
	ORDER_INTENT,

	/** The sidecar appends a record that it starts an order. */
	ORDER_START,

	/** The engine executes an order. */
	ORDER_EXECUTION,

	/** The sidecar appends the outcome of an order. */
	ORDER_SETTLEMENT,

	/** The controller appends the intent to order or release backend servers. */
	SCALE_INTENT,

	/** The controller calls the platform's ordering interface. */
	SCALE_CALL,

	/** An operator's change of the configuration is appended to the log. */
	CONFIG_APPEND,

	/** A process applies a configuration. */
	CONFIG_APPLY,

	/**
	 * The state is written to the log before the records that it was built from expire.
	 */
	CHECKPOINT,

	/** A key is granted or withdrawn. */
	KEY_CHANGE,

	/** An entry has received a request. */
	REQUEST_RECEIVED,

	/** An idempotency claim is appended. */
	IDEMPOTENCY_CLAIM,

	/** An attempt is sent to a sidecar. */
	ATTEMPT_DISPATCHED,

	/** The backend server has started on an attempt. */
	ATTEMPT_STARTED,

	/** The response is sent to the caller. */
	ANSWER_STREAMING,

	/** The end of the response is sent to the caller. */
	ANSWER_END,

	/** The platform's list of VMs is read. */
	VM_LIST_READ,

	/** An entry sends its usage counts to the lease holder. */
	USAGE_FLUSH,

	/** The lease holder appends the final figures of a usage window. */
	USAGE_SEAL,

	/** A sealed window is reported to the platform. */
	USAGE_REPORT

}
