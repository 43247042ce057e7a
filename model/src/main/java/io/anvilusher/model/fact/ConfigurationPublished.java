package io.anvilusher.model.fact;

import io.anvilusher.model.config.TextPatch;

/**
 * An operator published a new version of the configuration, as a patch of the version
 * before.
 *
 * @param author name of the operator
 * @param basedOnOffset offset of the version that the patch was made for; 0 for the first
 * version
 * @param patch the patch of the text
 * @param digest SHA-256 of the resulting text, in hexadecimal
 */
public record ConfigurationPublished(String author, long basedOnOffset, TextPatch patch,
		String digest) implements Fact {

}
