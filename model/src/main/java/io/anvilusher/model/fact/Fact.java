package io.anvilusher.model.fact;

/**
 * The content of a record of the control log. Facts take effect in the order of the log.
 * A fact that names the state that it is based on has no effect if another fact changed
 * that state first.
 */
public sealed interface Fact permits ConfigurationPublished, KeyGranted, KeyWithdrawn, LeaseClaimed, LeaseRenewed,
		LeaseReleased, OrderIntended, OrderStarted, OrderSettled, OrderAbandoned, ScaleIntended, ScaleSettled,
		UsageSealed, UsageReported, IdempotencyClaimed, IdempotencySettled, IdempotencyExpired, CrashObserved,
		SuspectCleared, CheckpointChunk {

}
