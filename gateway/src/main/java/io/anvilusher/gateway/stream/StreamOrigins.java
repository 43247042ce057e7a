package io.anvilusher.gateway.stream;

import java.util.concurrent.CompletableFuture;

/**
 * Remembers where streams began. Used on the traffic thread.
 */
public interface StreamOrigins {

	/**
	 * Records that a stream began. Returns at once; the first event need not wait for the
	 * record.
	 * @param requestId identifier of the request whose response brought the first event
	 * @param origin where it began
	 */
	void onBegun(String requestId, StreamOrigin origin);

	/**
	 * Finds where a stream began.
	 * @param requestId identifier of the request whose response brought the first event
	 * @return the outcome; completes on the traffic thread, possibly at once, and never
	 * exceptionally
	 */
	CompletableFuture<OriginSearch> find(String requestId);

}
