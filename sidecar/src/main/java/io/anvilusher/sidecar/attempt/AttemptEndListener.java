package io.anvilusher.sidecar.attempt;

import java.util.List;
import java.util.Optional;

import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;

/**
 * Is notified when attempts end.
 */
@FunctionalInterface
public interface AttemptEndListener {

	/**
	 * Called once for each attempt that was started, after it has ended.
	 * @param start the attempt
	 * @param failure why the attempt failed, or empty if it got a response
	 * @param runningFingerprints fingerprints of the requests that were running on the
	 * server when the attempt ended, including its own
	 */
	void onAttemptEnded(AttemptStart start, Optional<AttemptFailure> failure, List<String> runningFingerprints);

}
