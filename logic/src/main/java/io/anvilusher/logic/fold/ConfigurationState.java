package io.anvilusher.logic.fold;

import java.util.Optional;

import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.model.fact.ConfigurationPublished;

/**
 * The accepted version of the configuration text.
 *
 * @param versionOffset offset of the accepted version; 0 when there is none
 * @param author the operator who published it; empty when there is none
 * @param text the text
 */
public record ConfigurationState(long versionOffset, String author, String text) {

	/** State before any version. */
	static final ConfigurationState EMPTY = new ConfigurationState(0, "", "");

	Folded<ConfigurationState> publish(long offset, ConfigurationPublished fact) {
		if (fact.basedOnOffset() != this.versionOffset) {
			return Folded.refused(this, Verdict.STALE_BASE);
		}
		Optional<String> patched = TextPatches.apply(this.text, fact.patch())
			.filter((result) -> TextPatches.digest(result).equals(fact.digest()));
		if (patched.isEmpty()) {
			return Folded.refused(this, Verdict.INVALID);
		}
		return Folded.accepted(new ConfigurationState(offset, fact.author(), patched.get()));
	}

}
