package io.anvilusher.logic.fold;

import java.util.Optional;

import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.model.fact.ConfigurationPublished;

/**
 * The accepted version of the configuration text. A new version is accepted only if it is
 * based on this one and its patch yields the text that its digest names.
 *
 * @param versionOffset offset of the record that published the version; 0 before the
 * first version
 * @param author the operator who published it; empty before the first version
 * @param text the configuration text
 */
public record ConfigurationState(long versionOffset, String author, String text) {

	/** The state before the first version. */
	static final ConfigurationState EMPTY = new ConfigurationState(0, "", "");

	FoldResult<ConfigurationState> publish(long offset, ConfigurationPublished fact) {
		if (fact.basedOnOffset() != this.versionOffset) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		Optional<String> patched = TextPatches.apply(this.text, fact.patch())
			.filter((result) -> TextPatches.digest(result).equals(fact.digest()));
		if (patched.isEmpty()) {
			return FoldResult.refused(this, Verdict.INVALID);
		}
		return FoldResult.accepted(new ConfigurationState(offset, fact.author(), patched.get()));
	}

}
