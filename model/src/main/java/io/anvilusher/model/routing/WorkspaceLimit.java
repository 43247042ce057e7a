package io.anvilusher.model.routing;

import java.util.OptionalLong;

/**
 * The usage limit of a workspace.
 *
 * @param ratePerS use per second, in the unit; positive and finite
 * @param burst use on top of the rate, once per window, in the unit; not negative and
 * finite
 * @param unit what is counted
 * @param plainTokens cost in tokens of a request that does not state its token counts;
 * not negative. Not used with the unit {@link AllowanceUnit#REQUESTS}.
 */
public record WorkspaceLimit(double ratePerS, double burst, AllowanceUnit unit, long plainTokens) {

	public WorkspaceLimit {
		if (!Double.isFinite(ratePerS) || ratePerS <= 0 || !Double.isFinite(burst) || burst < 0) {
			throw new IllegalArgumentException(
					"rate " + ratePerS + " per second and burst " + burst + " are not a usage limit");
		}
		if (plainTokens < 0) {
			throw new IllegalArgumentException("plain tokens of " + plainTokens + " are negative");
		}
	}

	/**
	 * Returns the cost of a request.
	 * @param tokens token counts that the request states, summed; empty if it states none
	 * @return the cost in the unit of the limit
	 */
	public long cost(OptionalLong tokens) {
		return switch (this.unit) {
			case TOKENS -> tokens.orElse(this.plainTokens);
			case REQUESTS -> 1;
		};
	}

}
