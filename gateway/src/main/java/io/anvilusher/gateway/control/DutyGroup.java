package io.anvilusher.gateway.control;

import java.util.concurrent.CompletableFuture;

/**
 * A group at the platform's store whose members hold a duty in turn.
 */
public interface DutyGroup {

	/**
	 * Joins the group, or stays in it.
	 * @param member identity of the process since its start
	 * @param generation generation of the membership before; 0 for none
	 * @param ttlMs time after which a silent member is taken for gone, in ms
	 * @return the membership; never fails
	 */
	CompletableFuture<Membership> join(String member, long generation, long ttlMs);

	/**
	 * Leaves the group.
	 * @param member identity of the process since its start
	 * @return whether the store heard it
	 */
	CompletableFuture<Boolean> leave(String member);

	/**
	 * A member's standing.
	 *
	 * @param known whether the store answered
	 * @param generation number that grows with every change of the group
	 * @param holder whether this member holds the duty
	 */
	record Membership(boolean known, long generation, boolean holder) {

	}

}
