package io.anvilusher.logic.allowance;

import java.util.List;

/**
 * An allocator's answer to a report, or a change that it sends unasked; the payload of an
 * ALLOWANCE_GRANT message.
 *
 * @param run identifies the run of the allocator's process
 * @param number number of the grant; increases with each grant of a run
 * @param gatewayRun run of the gateway for which the grant is
 * @param answeredSequence number of the newest report received from the gateway. The
 * grant is valid for {@link LocalAllowance#GRANT_MS} from the time at which the gateway
 * sent that report.
 * @param members number of gateways in the allocator's group
 * @param ceilings the ceilings of all limited workspaces; empty if the gateway is not in
 * the allocator's group
 */
public record AllowanceGrant(long run, long number, long gatewayRun, long answeredSequence, int members,
		List<GrantedCeiling> ceilings) {

	public AllowanceGrant {
		ceilings = List.copyOf(ceilings);
	}

}
