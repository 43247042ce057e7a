package io.anvilusher.gateway.control;

import java.util.concurrent.CompletableFuture;

/**
 * A membership group in the platform's store that elects one member as the holder of the
 * duties: the control tasks that only one gateway at a time carries out.
 */
public interface DutyGroup {

	/**
	 * Joins the group, or renews the membership.
	 * @param member identifier of this run of the process
	 * @param generation generation of the previous membership; 0 for none
	 * @param ttlMs time without renewal after which the store removes the member, in ms
	 * @return the membership; completes normally even if the store does not respond
	 */
	CompletableFuture<Membership> join(String member, long generation, long ttlMs);

	/**
	 * Leaves the group.
	 * @param member identifier of this run of the process
	 * @return whether the store confirmed it
	 */
	CompletableFuture<Boolean> leave(String member);

	/**
	 * The state of a membership.
	 *
	 * @param responded whether the store responded; if not, the other components have no
	 * meaning
	 * @param generation generation of the group; grows with every change of its members
	 * and serves as the fencing token
	 * @param holder whether this member holds the duties
	 */
	record Membership(boolean responded, long generation, boolean holder) {

	}

}
