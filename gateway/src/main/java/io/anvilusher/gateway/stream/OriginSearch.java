package io.anvilusher.gateway.stream;

/**
 * The outcome of a search for the origin of a stream.
 */
public sealed interface OriginSearch {

	/**
	 * The origin is known.
	 *
	 * @param origin where the stream began
	 */
	record Found(StreamOrigin origin) implements OriginSearch {

	}

	/**
	 * The record of all gateways was read to its end and does not have the stream. The
	 * gateway that began it may not have written it yet.
	 */
	record NotRecorded() implements OriginSearch {

	}

	/**
	 * The record could not be read, so it may have the stream.
	 */
	record Unavailable() implements OriginSearch {

	}

}
