package io.anvilusher.gateway.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

import io.anvilusher.gateway.placement.Timers;

/**
 * Traffic thread whose clock and tasks a test drives. A task runs only when the test says
 * so, also if it is overdue.
 */
final class FakeTrafficThread implements XnioExecutor, Timers {

	private final List<Task> tasks = new ArrayList<>();

	private long nowMs = 1_000;

	@Override
	public long nowMs() {
		return this.nowMs;
	}

	@Override
	public void execute(Runnable command) {
		add(0, command);
	}

	@Override
	public Key executeAfter(Runnable command, long time, TimeUnit unit) {
		Task task = add(unit.toMillis(time), command);
		return () -> this.tasks.remove(task);
	}

	@Override
	public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
		throw new UnsupportedOperationException("the dispatcher uses no intervals");
	}

	@Override
	public Runnable schedule(long delayMs, Runnable command) {
		return executeAfter(command, delayMs, TimeUnit.MILLISECONDS)::remove;
	}

	private Task add(long delayMs, Runnable command) {
		Task task = new Task(this.nowMs + delayMs, command);
		this.tasks.add(task);
		return task;
	}

	/**
	 * Moves the clock without running any task, as if the process had been stopped.
	 * @param durationMs time in ms
	 */
	void stall(long durationMs) {
		this.nowMs += durationMs;
	}

	/**
	 * Returns when the next task is due.
	 * @return the time from now in ms, 0 if it is overdue; empty if there is no task
	 */
	Optional<Long> nextInMs() {
		return next().map((task) -> Math.max(0, task.dueAtMs() - this.nowMs));
	}

	/** Runs the task that is due first, at its time or now if that is past. */
	void runNext() {
		next().ifPresent((task) -> {
			this.tasks.remove(task);
			this.nowMs = Math.max(this.nowMs, task.dueAtMs());
			task.command().run();
		});
	}

	private Optional<Task> next() {
		return this.tasks.stream().min(Comparator.comparingLong(Task::dueAtMs));
	}

	private record Task(long dueAtMs, Runnable command) {

	}

}
