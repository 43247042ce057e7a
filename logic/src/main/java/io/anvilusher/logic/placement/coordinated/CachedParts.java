package io.anvilusher.logic.placement.coordinated;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Model of an engine's KV cache: the prompt parts that it holds, least recently used ones
 * first. The parts that only one request has take up room as well. Confined to one
 * thread.
 */
final class CachedParts {

	/** Bound on the memory of the model; more parts than an engine usually caches. */
	static final int MAX_PARTS = 4_096;

	private final long capacityTokens;

	private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long heldTokens;

	/**
	 * Creates an empty cache.
	 * @param capacityTokens capacity in tokens
	 */
	CachedParts(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Estimates the tokens of a prompt that are not in the cache. A part counts as cached
	 * only if all parts before it are.
	 * @param prompt the prompt
	 * @return number of tokens, at least 1
	 */
	int uncachedTokens(PromptShape prompt) {
		long cached = 0;
		for (PromptPart part : prompt.sharedParts()) {
			if (!this.tokensByPart.containsKey(part.id())) {
				break;
			}
			cached += part.tokens();
		}
		return (int) Math.max(1, prompt.promptTokens() - cached);
	}

	boolean holds(String partId) {
		return this.tokensByPart.containsKey(partId);
	}

	/**
	 * Records that the engine prefills a prompt.
	 * @param prompt the prompt
	 */
	void onPrefill(PromptShape prompt) {
		long sharedTokens = 0;
		for (PromptPart part : prompt.sharedParts()) {
			put(part.id(), part.tokens());
			sharedTokens += part.tokens();
		}
		if (!prompt.parts().isEmpty()) {
			put(prompt.parts().get(prompt.parts().size() - 1).id(),
					(int) Math.max(0, prompt.promptTokens() - sharedTokens));
		}
		evict();
	}

	private void put(String partId, int tokens) {
		Integer previous = this.tokensByPart.put(partId, tokens);
		this.heldTokens += tokens - ((previous != null) ? previous : 0);
	}

	private void evict() {
		Iterator<Integer> eldest = this.tokensByPart.values().iterator();
		while ((this.heldTokens > this.capacityTokens || this.tokensByPart.size() > MAX_PARTS) && eldest.hasNext()) {
			this.heldTokens -= eldest.next();
			eldest.remove();
		}
	}

}
