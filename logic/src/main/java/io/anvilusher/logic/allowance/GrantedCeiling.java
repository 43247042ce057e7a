package io.anvilusher.logic.allowance;

/**
 * The use that a gateway may reach for a workspace. Amounts are in the unit of the limit.
 *
 * @param workspace name of the workspace
 * @param ceiling use that may count at the gateway at any time while the grant is valid
 * @param excess sum, over all gateways known to the allocator, of what each one may use
 * beyond an equal share of the limit
 */
public record GrantedCeiling(String workspace, long ceiling, long excess) {

}
