package io.anvilusher.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Clock and timers that a test advances.
 */
final class FakeTimers implements Timers {

	private final List<Task> tasks = new ArrayList<>();

	private long nowMs = 1_000;

	@Override
	public long nowMs() {
		return this.nowMs;
	}

	@Override
	public Runnable schedule(long delayMs, Runnable task) {
		Task scheduled = new Task(this.nowMs + delayMs, task);
		this.tasks.add(scheduled);
		return () -> this.tasks.remove(scheduled);
	}

	void advance(long durationMs) {
		long endMs = this.nowMs + durationMs;
		for (Optional<Task> next = next(endMs); next.isPresent(); next = next(endMs)) {
			this.tasks.remove(next.get());
			this.nowMs = Math.max(this.nowMs, next.get().atMs());
			next.get().action().run();
		}
		this.nowMs = endMs;
	}

	private Optional<Task> next(long endMs) {
		return this.tasks.stream().filter((task) -> task.atMs() <= endMs).min(Comparator.comparingLong(Task::atMs));
	}

	private record Task(long atMs, Runnable action) {

	}

}
