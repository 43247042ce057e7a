package io.anvilusher.proofs;

import java.util.List;

/**
 * Scope of a promise: the steps at which a fault could break it.
 *
 * @param steps the steps, in the order in which they happen
 */
public record PromiseScope(List<Step> steps) {

	public PromiseScope {
		steps = List.copyOf(steps);
	}

	/**
	 * Creates a scope of the given steps.
	 * @param steps the steps, in the order in which they happen
	 * @return the scope
	 */
	public static PromiseScope of(Step... steps) {
		return new PromiseScope(List.of(steps));
	}

}
