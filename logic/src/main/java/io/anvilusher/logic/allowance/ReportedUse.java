package io.anvilusher.logic.allowance;

/**
 * The use of a workspace at a gateway. Amounts are in the unit of the limit.
 *
 * @param workspace name of the workspace
 * @param use use that counts now: requests waiting to be sent and requests sent in the
 * last window
 * @param demand cost of the requests that arrived in the last
 * {@link LocalAllowance#DEMAND_WINDOW_MS}, including refused ones
 * @param grantNumber number of the grant from which the gateway has its ceiling; 0 if
 * none from this allocator
 * @param formerExcess the workspace's total excess in the last answer of the former
 * allocator; 0 if that is longer ago than a window
 * @param formerOwnExcess part of the former excess that was this gateway's; 0 likewise
 */
public record ReportedUse(String workspace, long use, long demand, long grantNumber, long formerExcess,
		long formerOwnExcess) {

}
