package io.anvilusher.gateway.request;

import java.util.Locale;

/**
 * The limits that can refuse a request as {@code service_saturated}. The caller is told
 * the same for each of them; the log tells them apart.
 */
enum SaturationLimit {

	/** The queue of the gateway was full. */
	QUEUE_LENGTH,

	/** No server had room for the request within its queue time. */
	QUEUE_TIME,

	/** A coordinator refused the request. */
	COORDINATOR,

	/** All servers have named limits, and none has room for the request in time. */
	SERVER_LIMIT,

	/** The retry budget did not allow another prefill. */
	RETRY_BUDGET,

	/** Servers refused the request or were unreachable, and it was not sent again. */
	SERVERS;

	/**
	 * Returns the name in the log.
	 * @return the name in lowercase
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
