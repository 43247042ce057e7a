package io.anvilusher.logic.limit;

/**
 * Counts events of the last second.
 */
final class RecentCount {

	/** Length of the counted time in ms. */
	static final long WINDOW_MS = 1_000;

	private static final int SLOTS = 20;

	private static final long SLOT_MS = WINDOW_MS / SLOTS;

	private final int[] slots = new int[SLOTS];

	private long newestSlot = Long.MIN_VALUE / 2;

	private int total;

	void add(long nowMs) {
		advance(nowMs);
		this.slots[(int) Math.floorMod(this.newestSlot, (long) SLOTS)]++;
		this.total++;
	}

	/**
	 * Returns the number of events.
	 * @param nowMs current time of the monotonic clock
	 * @return the events of the last second
	 */
	int count(long nowMs) {
		advance(nowMs);
		return this.total;
	}

	private void advance(long nowMs) {
		long slot = Math.floorDiv(nowMs, SLOT_MS);
		long first = Math.max(this.newestSlot + 1, slot - SLOTS + 1);
		for (long cleared = first; cleared <= slot; cleared++) {
			int index = (int) Math.floorMod(cleared, (long) SLOTS);
			this.total -= this.slots[index];
			this.slots[index] = 0;
		}
		this.newestSlot = Math.max(this.newestSlot, slot);
	}

}
