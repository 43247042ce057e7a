package io.anvilusher.gateway.stream;

import java.util.function.LongSupplier;

/**
 * Settings of {@link SharedStreamOrigins}.
 *
 * @param intervalMs interval at which the streams that have begun are written to the
 * shared log, in ms
 * @param longestStreamMs supplies how long a stream can be taken up after it began, in ms
 * @param maxIndexBytes memory for the streams that are known, in bytes
 */
public record OriginSettings(long intervalMs, LongSupplier longestStreamMs, long maxIndexBytes) {

	public OriginSettings {
		if (intervalMs <= 0 || maxIndexBytes <= 0) {
			throw new IllegalArgumentException(
					"interval and memory must be positive: " + intervalMs + " ms, " + maxIndexBytes + " bytes");
		}
	}

}
