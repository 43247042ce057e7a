package io.anvilusher.gateway.stream;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Records where streams began, so that a caller can take one up at the software version
 * that began it. Used on the traffic thread only.
 */
public interface StreamOrigins {

	/**
	 * Records that the first event of a stream has been passed on to the caller.
	 * @param requestId identifier that the caller gave to the request
	 * @param origin where the stream began
	 */
	void onBegun(String requestId, StreamOrigin origin);

	/**
	 * Looks up where a stream began.
	 * @param requestId identifier of the request that brought the first event
	 * @return the origin, or empty if it is not known; completes on the traffic thread,
	 * possibly within this call, and never exceptionally
	 */
	CompletableFuture<Optional<StreamOrigin>> find(String requestId);

}
