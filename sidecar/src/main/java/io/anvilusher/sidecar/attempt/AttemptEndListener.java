package io.anvilusher.sidecar.attempt;

import java.util.List;
import java.util.Optional;

import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;

/**
 * Learns of the end of attempts.
 */
@FunctionalInterface
public interface AttemptEndListener {

	/**
	 * An attempt ended.
	 * @param start the attempt
	 * @param failure why it failed, or empty if it was answered
	 * @param runningFingerprints fingerprints of the attempts that were running, this one
	 * among them
	 */
	void onAttemptEnded(AttemptStart start, Optional<AttemptFailure> failure, List<String> runningFingerprints);

}
