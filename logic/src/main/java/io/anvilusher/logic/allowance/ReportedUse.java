package io.anvilusher.logic.allowance;

/**
 * The use of a workspace at a gateway. Amounts are in the unit of the limit.
 *
 * @param workspace name of the workspace
 * @param use use that counts now: requests waiting to be sent and requests sent in the
 * last window
 * @param demand cost of the requests that arrived in the last
 * {@link LocalAllowance#DEMAND_WINDOW_MS}, including refused ones
 * @param ceiling use that the gateway may reach now
 */
public record ReportedUse(String workspace, long use, long demand, long ceiling) {

	public ReportedUse {
		if (use < 0 || demand < 0 || ceiling < 0) {
			throw new IllegalArgumentException("use " + use + ", demand " + demand + " and ceiling " + ceiling
					+ " of workspace " + workspace + " must not be negative");
		}
	}

}
