package io.anvilusher.model.request;

import java.util.Optional;

/**
 * The claim on the only run of a request that must not run twice.
 *
 * @param claimKey hash of workspace, service and the caller's idempotency key
 * @param fingerprint hash of the request
 * @param attemptId id of the only attempt that may run
 * @param server name of the only server that may run it
 * @param sidecarIncarnation only incarnation of the server's sidecar that may start it
 * @param offset offset of the record of the claim
 * @param result the outcome of the request, or empty while it is not known
 */
public record IdempotencyClaim(String claimKey, String fingerprint, String attemptId, String server,
		String sidecarIncarnation, long offset, Optional<ClaimResult> result) {

	/**
	 * Returns the claim with its outcome.
	 * @param outcome the outcome
	 * @return the settled claim
	 */
	public IdempotencyClaim settled(ClaimResult outcome) {
		return new IdempotencyClaim(this.claimKey, this.fingerprint, this.attemptId, this.server,
				this.sidecarIncarnation, this.offset, Optional.of(outcome));
	}

}
