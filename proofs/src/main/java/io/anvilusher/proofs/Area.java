package io.anvilusher.proofs;

import java.util.List;

/**
 * The steps that one promise has to hold through.
 *
 * @param steps the steps, in the order in which they happen
 */
public record Area(List<Step> steps) {

	public Area {
		steps = List.copyOf(steps);
	}

	/**
	 * Creates an area from its steps.
	 * @param steps the steps, in the order in which they happen
	 * @return the area
	 */
	public static Area of(Step... steps) {
		return new Area(List.of(steps));
	}

}
