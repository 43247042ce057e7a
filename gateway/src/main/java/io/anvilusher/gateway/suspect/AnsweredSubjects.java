package io.anvilusher.gateway.suspect;

import java.util.LinkedHashMap;
import java.util.Map;

import io.anvilusher.logic.suspect.CrashInquiry;

/**
 * The prompt parts and requests that servers have answered lately, as far as this gateway
 * knows. Written by the traffic thread, read by the control thread.
 */
final class AnsweredSubjects {

	/**
	 * Number of parts, and of requests, remembered; the least recently answered are
	 * forgotten first.
	 */
	private static final int MAX_SUBJECTS = 16_384;

	private final Map<String, Long> partsAnsweredAtMs = bounded();

	private final Map<String, Long> requestsAnsweredAtMs = bounded();

	private static Map<String, Long> bounded() {
		return new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
				return size() > MAX_SUBJECTS;
			}

		};
	}

	synchronized void add(RequestSubjects subjects, long nowMs) {
		subjects.parts().forEach((part) -> this.partsAnsweredAtMs.put(part, nowMs));
		this.requestsAnsweredAtMs.put(subjects.request(), nowMs);
	}

	synchronized boolean contains(String subject, long nowMs) {
		Long lastMs = this.partsAnsweredAtMs.getOrDefault(subject, this.requestsAnsweredAtMs.get(subject));
		return lastMs != null && nowMs - lastMs < CrashInquiry.MAX_CRASH_AGE_MS;
	}

}
