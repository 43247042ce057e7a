package io.anvilusher.model.fact;

import io.anvilusher.model.config.TextPatch;

/**
 * An operator published a version of the configuration, as a change to an earlier one.
 *
 * @param author the operator
 * @param basedOnOffset version that the change was made to; 0 when there was none
 * @param patch the change of the text
 * @param digest SHA-256 of the resulting text, in hexadecimal
 */
public record ConfigurationPublished(String author, long basedOnOffset, TextPatch patch,
		String digest) implements Fact {

}
