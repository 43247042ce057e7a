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
	 * @param holder whether this member holds the duties
	 * @param storeEra era of the store, which rises each time that the store returns from
	 * an older copy; the generation may fall then
	 */
	record Membership(boolean responded, long generation, boolean holder, long storeEra) {

		/** More than the generations that a group has within one era. */
		private static final long GENERATIONS_PER_ERA = 1L << 20;

		/**
		 * Creates a membership at a store that names no era.
		 * @param responded whether the store responded
		 * @param generation generation of the group
		 * @param holder whether this member holds the duties
		 */
		public Membership(boolean responded, long generation, boolean holder) {
			this(responded, generation, holder, 0);
		}

		/**
		 * Returns the fencing token of the member's actions. It also grows when the store
		 * returns from an older copy and gives out generations again.
		 * @return the token
		 */
		public long fencingToken() {
			return this.storeEra * GENERATIONS_PER_ERA + this.generation;
		}

	}

}
