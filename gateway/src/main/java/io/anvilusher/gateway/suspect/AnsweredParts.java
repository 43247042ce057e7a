package io.anvilusher.gateway.suspect;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.anvilusher.logic.suspect.CrashInquiry;

/**
 * The prompt parts that servers have answered lately, as far as this gateway knows.
 * Written by the traffic thread, read by the control thread.
 */
final class AnsweredParts {

	/** Number of parts remembered; the least recently answered are forgotten first. */
	private static final int MAX_PARTS = 16_384;

	private final Map<String, Long> answeredAtMs = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	synchronized void add(List<String> parts, long nowMs) {
		parts.forEach((part) -> this.answeredAtMs.put(part, nowMs));
	}

	synchronized boolean contains(String part, long nowMs) {
		Long lastMs = this.answeredAtMs.get(part);
		return lastMs != null && nowMs - lastMs < CrashInquiry.MAX_CRASH_AGE_MS;
	}

}
