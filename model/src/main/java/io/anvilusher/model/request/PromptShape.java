package io.anvilusher.model.request;

import java.util.List;

/**
 * The size of a prompt and its parts, some of which other requests share.
 *
 * @param promptTokens number of tokens of the prompt
 * @param maxOutputTokens largest number of tokens that may be generated
 * @param parts the parts in order; the last one belongs only to this request or session
 */
public record PromptShape(int promptTokens, int maxOutputTokens, List<PromptPart> parts) {

	public PromptShape {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the parts that other requests may have in common.
	 * @return all parts but the last
	 */
	public List<PromptPart> sharedParts() {
		return this.parts.isEmpty() ? List.of() : this.parts.subList(0, this.parts.size() - 1);
	}

	/**
	 * Counts the tokens of the shared parts.
	 * @return number of tokens; at most those of the prompt, whatever its parts claim
	 */
	public int sharedTokens() {
		return (int) Math.min(this.promptTokens, sharedParts().stream().mapToLong(PromptPart::tokens).sum());
	}

}
