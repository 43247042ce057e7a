package io.anvilusher.model.fact;

/**
 * A durable fact. Facts take effect in the order of the log; a fact that names what it is
 * based on has no effect when something else came before it.
 */
public sealed interface Fact permits ConfigurationPublished, KeyGranted, KeyWithdrawn, LeaseClaimed, LeaseRenewed,
		LeaseReleased, OrderIntended, OrderStarted, OrderSettled, OrderAbandoned, ScaleIntended, ScaleSettled,
		UsageSealed, UsageReported, IdempotencyClaimed, IdempotencySettled, IdempotencyExpired, CrashObserved,
		SuspectCleared, CheckpointChunk {

}
