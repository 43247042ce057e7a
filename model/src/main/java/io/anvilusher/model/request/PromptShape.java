package io.anvilusher.model.request;

import java.util.List;

/**
 * The size of a prompt and the parts that it shares with other requests.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens that may be generated
 * @param parts parts in order; the last belongs to the request itself or to its session
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
	 * @return tokens
	 */
	public int sharedTokens() {
		return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
	}

}
