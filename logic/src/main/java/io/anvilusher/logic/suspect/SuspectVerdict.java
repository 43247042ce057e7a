package io.anvilusher.logic.suspect;

import java.util.Map;
import java.util.Set;

/**
 * The result of a {@link CrashInquiry}.
 *
 * @param convicted subjects that must not be sent to servers
 * @param newlyConvicted number of crashes by subject, for those of them that were not
 * convicted before
 * @param suspects subjects without an answer that were at several unexplained crashes,
 * but not at enough of them; an answer to one of them is worth telling the others
 */
public record SuspectVerdict(Set<String> convicted, Map<String, Integer> newlyConvicted, Set<String> suspects) {

	/** Nothing is convicted or suspected. */
	public static final SuspectVerdict NONE = new SuspectVerdict(Set.of(), Map.of(), Set.of());

	public SuspectVerdict {
		convicted = Set.copyOf(convicted);
		newlyConvicted = Map.copyOf(newlyConvicted);
		suspects = Set.copyOf(suspects);
	}

}
