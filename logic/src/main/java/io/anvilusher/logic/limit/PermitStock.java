package io.anvilusher.logic.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Permits of one server that this gateway can use, oldest first.
 */
final class PermitStock {

	private final Deque<Batch> batches = new ArrayDeque<>();

	void add(int permits, long validUntilMs) {
		if (permits > 0) {
			this.batches.addLast(new Batch(permits, validUntilMs));
		}
	}

	int count(long nowMs) {
		this.batches.removeIf((batch) -> nowMs >= batch.validUntilMs());
		return this.batches.stream().mapToInt(Batch::permits).sum();
	}

	boolean isEmpty(long nowMs) {
		this.batches.removeIf((batch) -> nowMs >= batch.validUntilMs());
		return this.batches.isEmpty();
	}

	boolean tryTake(long nowMs) {
		while (!this.batches.isEmpty()) {
			Batch oldest = this.batches.removeFirst();
			if (nowMs < oldest.validUntilMs()) {
				if (oldest.permits() > 1) {
					this.batches.addFirst(new Batch(oldest.permits() - 1, oldest.validUntilMs()));
				}
				return true;
			}
		}
		return false;
	}

	/**
	 * Drops the oldest permits above a number.
	 * @param permits number of permits that are kept at most
	 * @param nowMs current time of the monotonic clock
	 */
	void cap(int permits, long nowMs) {
		for (int surplus = count(nowMs) - permits; surplus > 0; surplus--) {
			tryTake(nowMs);
		}
	}

	/**
	 * Permits of one grant.
	 *
	 * @param permits their number
	 * @param validUntilMs time at which they expire
	 */
	private record Batch(int permits, long validUntilMs) {

	}

}
