package io.anvilusher.logic.suspect;

import java.util.List;
import java.util.Set;

/**
 * What one gateway tells the others about recent crashes.
 *
 * @param crashes crashes that it observed
 * @param answered subjects that servers have answered lately, of those that were at a
 * crash
 */
public record CrashReport(List<CrashObservation> crashes, Set<String> answered) {

	/** A report without crashes. */
	public static final CrashReport EMPTY = new CrashReport(List.of(), Set.of());

	public CrashReport {
		crashes = List.copyOf(crashes);
		answered = Set.copyOf(answered);
	}

}
