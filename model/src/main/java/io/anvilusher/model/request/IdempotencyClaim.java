package io.anvilusher.model.request;

import java.util.Optional;

/**
 * The one run of a call that may not be repeated.
 *
 * @param claimKey hash of workspace, service and the caller's idempotency key
 * @param fingerprint hash of the request
 * @param attemptId the attempt that may run
 * @param server the only server that it may run on
 * @param sidecarIncarnation the only sidecar incarnation that may start it
 * @param offset offset of the claim
 * @param result the outcome, or empty while it is not known
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
