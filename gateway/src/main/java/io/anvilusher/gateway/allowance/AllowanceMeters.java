package io.anvilusher.gateway.allowance;

import java.util.HashMap;
import java.util.Map;

import io.micrometer.core.instrument.Counter;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.allowance.AllowanceGrant;

/**
 * Metrics of the allowances by workspace. Written on the traffic thread; the gauges are
 * read on others.
 */
final class AllowanceMeters {

	/** Workspaces with metrics of their own; the others share the tag value "other". */
	private static final int MAX_WORKSPACES = 100;

	private final Map<String, WorkspaceMeters> byWorkspace = new HashMap<>();

	private final Meters meters;

	private volatile long answeredAtMs = Long.MIN_VALUE;

	AllowanceMeters(Meters meters) {
		this.meters = meters;
	}

	/**
	 * Registers the gauge of the age of the allocator's last answer.
	 * @param clock the monotonic clock
	 */
	void start(MonotonicClock clock) {
		this.meters.gauge("anvilusher.allowance.answer.age.ms", this,
				(self) -> (self.answeredAtMs == Long.MIN_VALUE) ? -1 : clock.nowMs() - self.answeredAtMs);
	}

	void onAllowed(String workspace) {
		of(workspace).allowed().increment();
	}

	void onRefused(String workspace) {
		of(workspace).refused().increment();
	}

	void onGrant(AllowanceGrant grant, long nowMs) {
		this.answeredAtMs = nowMs;
		grant.ceilings().forEach((granted) -> of(granted.workspace()).granted().ceiling = granted.ceiling());
	}

	void onUnusable(String reason) {
		this.meters.counter("anvilusher.allowance.messages.unusable", "reason", reason).increment();
	}

	void onAllocatorChanged() {
		this.meters.counter("anvilusher.allowance.allocator.changes").increment();
	}

	private WorkspaceMeters of(String workspace) {
		WorkspaceMeters known = this.byWorkspace.get(workspace);
		if (known != null) {
			return known;
		}
		String tag = (this.byWorkspace.size() < MAX_WORKSPACES) ? workspace : "other";
		return this.byWorkspace.computeIfAbsent(tag, this::register);
	}

	private WorkspaceMeters register(String tag) {
		Granted granted = new Granted();
		this.meters.gauge("anvilusher.allowance.ceiling", granted, (current) -> current.ceiling, "workspace", tag);
		return new WorkspaceMeters(
				this.meters.counter("anvilusher.allowance.requests", "workspace", tag, "outcome", "allowed"),
				this.meters.counter("anvilusher.allowance.requests", "workspace", tag, "outcome", "refused"), granted);
	}

	private record WorkspaceMeters(Counter allowed, Counter refused, Granted granted) {

	}

	/**
	 * The ceiling granted last.
	 */
	private static final class Granted {

		private volatile long ceiling;

	}

}
