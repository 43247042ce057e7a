package io.anvilusher.model.fact;

/**
 * An entry claims the one run of a call that may not be repeated, before it dispatches
 * it.
 *
 * @param claimKey hash of workspace, service and the caller's idempotency key
 * @param fingerprint hash of the request, so that a reuse of the key for another request
 * is noticed
 * @param attemptId the attempt that may run
 * @param server the only server that it may run on
 * @param sidecarIncarnation the only incarnation of that server's sidecar that may start
 * it
 * @param basedOnOffset offset of the claim that this one replaces after it was proved not
 * run; 0 for the first
 */
public record IdempotencyClaimed(String claimKey, String fingerprint, String attemptId, String server,
		String sidecarIncarnation, long basedOnOffset) implements Fact {

}
