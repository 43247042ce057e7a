package io.anvilusher.gateway.stream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.anvilusher.gateway.control.ControlTasks;

/**
 * A control thread whose time a test advances.
 */
final class FakeTasks implements ControlTasks {

	private final List<Task> tasks = new ArrayList<>();

	private long nowMs = 1_000;

	long nowMs() {
		return this.nowMs;
	}

	@Override
	public void after(long delayMs, Runnable task) {
		this.tasks.add(new Task(this.nowMs + delayMs, task));
	}

	/** Runs what is due now. */
	void runDue() {
		advance(0);
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

	int scheduled() {
		return this.tasks.size();
	}

	private Optional<Task> next(long endMs) {
		return this.tasks.stream().filter((task) -> task.atMs() <= endMs).min(Comparator.comparingLong(Task::atMs));
	}

	private record Task(long atMs, Runnable action) {

	}

}
