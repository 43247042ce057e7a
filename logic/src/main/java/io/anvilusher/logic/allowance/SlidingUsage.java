package io.anvilusher.logic.allowance;

/**
 * A sum of amounts over a sliding window. Amounts are kept in buckets of a hundredth of
 * the window, and a bucket counts until its last moment has left the window, so the sum
 * is never too small. Confined to one thread.
 */
final class SlidingUsage {

	private static final int BUCKETS = 100;

	private final long bucketMs;

	private final long[] amounts = new long[BUCKETS + 1];

	private long newestBucket = Long.MIN_VALUE;

	private long total;

	SlidingUsage(long windowMs) {
		this.bucketMs = (windowMs + BUCKETS - 1) / BUCKETS;
	}

	void add(long amount, long nowMs) {
		advance(nowMs);
		this.amounts[index(this.newestBucket)] += amount;
		this.total += amount;
	}

	/**
	 * Removes an amount that was added before. Has no effect if it has left the window.
	 * @param amount the amount
	 * @param addedMs time at which it was added
	 * @param nowMs current time of the monotonic clock
	 */
	void remove(long amount, long addedMs, long nowMs) {
		advance(nowMs);
		long bucket = Math.floorDiv(addedMs, this.bucketMs);
		if (bucket > this.newestBucket - this.amounts.length) {
			this.amounts[index(bucket)] -= amount;
			this.total -= amount;
		}
	}

	long total(long nowMs) {
		advance(nowMs);
		return this.total;
	}

	/**
	 * Returns the time until an amount has left the window.
	 * @param amount the amount
	 * @param nowMs current time of the monotonic clock
	 * @return the time in ms; the whole window if the sum is smaller than the amount
	 */
	long timeToFreeMs(long amount, long nowMs) {
		advance(nowMs);
		long oldest = this.newestBucket - this.amounts.length + 1;
		long freed = 0;
		for (int age = 0; age < this.amounts.length; age++) {
			freed += this.amounts[index(oldest + age)];
			if (freed >= amount) {
				return (oldest + age + this.amounts.length) * this.bucketMs - nowMs;
			}
		}
		return this.bucketMs * BUCKETS;
	}

	private void advance(long nowMs) {
		long bucket = Math.floorDiv(nowMs, this.bucketMs);
		if (this.newestBucket == Long.MIN_VALUE) {
			this.newestBucket = bucket;
		}
		long steps = Math.min(bucket - this.newestBucket, this.amounts.length);
		for (long step = 1; step <= steps; step++) {
			int index = index(bucket - steps + step);
			this.total -= this.amounts[index];
			this.amounts[index] = 0;
		}
		this.newestBucket = Math.max(this.newestBucket, bucket);
	}

	private int index(long bucket) {
		return (int) Math.floorMod(bucket, (long) this.amounts.length);
	}

}
