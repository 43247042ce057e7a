package io.anvilusher.logic.admission;

/**
 * Bounds the memory that a process spends on requests and responses in progress, all of
 * them together. It is designed for many messages that are large or never end, each of
 * them within the limit for a single one: the largest are refused first, so that small
 * messages are still handled.
 */
public final class MemoryBudget {

	/** Largest size of a message that may use the whole budget. */
	static final long SMALL_MESSAGE_BYTES = 64 * 1024;

	/** Share of the budget that only small messages may use. */
	static final double SMALL_MESSAGES_SHARE = 0.25;

	/**
	 * Share of the heap for messages. The rest is for what a process always holds, and
	 * for copies of a message while it is handled.
	 */
	static final double HEAP_SHARE = 0.4;

	/** Share of the heap for responses to calls that the process needs for itself. */
	static final double CONTROL_HEAP_SHARE = 0.1;

	private final long maxBytes;

	private final long maxBytesWithLarge;

	private long heldBytes;

	private long refusals;

	/**
	 * Creates a budget of which nothing is in use.
	 * @param maxBytes the most that all messages may use together, in bytes
	 */
	public MemoryBudget(long maxBytes) {
		this.maxBytes = maxBytes;
		this.maxBytesWithLarge = (long) (maxBytes * (1 - SMALL_MESSAGES_SHARE));
	}

	/**
	 * Creates a budget of a fixed share of the heap.
	 * @param maxHeapBytes maximum size of the heap, in bytes
	 * @return the budget
	 */
	public static MemoryBudget ofHeap(long maxHeapBytes) {
		return new MemoryBudget((long) (maxHeapBytes * HEAP_SHARE));
	}

	/**
	 * Creates a budget for responses of the store and of the duties, so that messages of
	 * callers cannot keep the process from learning what is in force.
	 * @param maxHeapBytes maximum size of the heap, in bytes
	 * @return the budget
	 */
	public static MemoryBudget ofHeapForControl(long maxHeapBytes) {
		return new MemoryBudget((long) (maxHeapBytes * CONTROL_HEAP_SHARE));
	}

	/**
	 * Opens the account of a message.
	 * @return an account that holds nothing
	 */
	public Account open() {
		return new Account();
	}

	/**
	 * Returns how much of the budget is in use.
	 * @return bytes that all accounts hold
	 */
	public synchronized long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns how often a message was refused memory.
	 * @return number of refusals since the start
	 */
	public synchronized long refusals() {
		return this.refusals;
	}

	private synchronized boolean tryAdd(long addedBytes, long limitBytes) {
		if (addedBytes > 0 && this.heldBytes + addedBytes > limitBytes) {
			this.refusals++;
			return false;
		}
		this.heldBytes += addedBytes;
		return true;
	}

	/**
	 * The memory of one message. Confined to one thread, but different accounts may be
	 * used by different threads.
	 */
	public final class Account {

		private long bytes;

		private Account() {
		}

		/**
		 * Changes the size of the account. Less memory is always granted.
		 * @param newBytes the size from now on, in bytes
		 * @return whether the budget allows it; if not, the size stays as it is
		 */
		public boolean tryResize(long newBytes) {
			long limitBytes = (newBytes <= SMALL_MESSAGE_BYTES) ? MemoryBudget.this.maxBytes
					: MemoryBudget.this.maxBytesWithLarge;
			if (newBytes != this.bytes && !tryAdd(newBytes - this.bytes, limitBytes)) {
				return false;
			}
			this.bytes = newBytes;
			return true;
		}

		/**
		 * Gives back all that the account holds. Further calls have no effect.
		 */
		public void release() {
			tryResize(0);
		}

	}

}
