package io.anvilusher.model.fact;

/**
 * An entry claims the only run of a request that must not run twice, before it sends the
 * request to a server.
 *
 * @param claimKey hash of workspace, service and the caller's idempotency key
 * @param fingerprint hash of the request, which reveals the reuse of a key for another
 * request
 * @param attemptId id of the only attempt that may run
 * @param server name of the only server that may run it
 * @param sidecarIncarnation only incarnation of the server's sidecar that may start it
 * @param basedOnOffset offset of the claim that this one replaces, whose attempt was
 * settled as not run; 0 for the first claim
 */
public record IdempotencyClaimed(String claimKey, String fingerprint, String attemptId, String server,
		String sidecarIncarnation, long basedOnOffset) implements Fact {

}
