package io.anvilusher.logic.fold;

import java.util.Map;

import io.anvilusher.model.fact.UsageReported;
import io.anvilusher.model.fact.UsageSealed;
import io.anvilusher.model.usage.SealedWindow;

/**
 * The usage windows. Each lease numbers its own windows from 1. A window is sealed once,
 * which makes its figures final.
 *
 * @param lastSealed number of the newest sealed window, by lease
 * @param unreported sealed windows whose report the platform has not accepted, by lease
 * and number
 * @param flushedThrough number of the newest flush that a sealed window contains, by
 * entry incarnation
 */
public record UsageState(Map<String, Long> lastSealed, Map<String, SealedWindow> unreported,
		Map<String, Long> flushedThrough) {

	/** The state before the first window. */
	static final UsageState EMPTY = new UsageState(Map.of(), Map.of(), Map.of());

	public UsageState {
		lastSealed = PersistentMaps.of(lastSealed);
		unreported = PersistentMaps.of(unreported);
		flushedThrough = PersistentMaps.of(flushedThrough);
	}

	/**
	 * Returns the number of the window to seal next.
	 * @param lease name of the lease
	 * @return the number
	 */
	public long nextWindow(String lease) {
		return this.lastSealed.getOrDefault(lease, 0L) + 1;
	}

	/**
	 * Returns the number of the newest flush of an entry that a sealed window contains.
	 * @param entryIncarnation incarnation of the entry process
	 * @return number of the flush; 0 when there is none
	 */
	public long flushedThrough(String entryIncarnation) {
		return this.flushedThrough.getOrDefault(entryIncarnation, 0L);
	}

	FoldResult<UsageState> seal(UsageSealed fact, LeaseState leases) {
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		if (fact.window() != nextWindow(fact.lease())) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		Map<String, Long> flushed = this.flushedThrough;
		for (Map.Entry<String, Long> entry : fact.flushedThrough().entrySet()) {
			flushed = PersistentMaps.with(flushed, entry.getKey(), entry.getValue());
		}
		SealedWindow window = new SealedWindow(fact.window(), fact.lease(), fact.term(), fact.lines());
		return FoldResult.accepted(new UsageState(PersistentMaps.with(this.lastSealed, fact.lease(), fact.window()),
				PersistentMaps.with(this.unreported, key(fact.lease(), fact.window()), window), flushed));
	}

	FoldResult<UsageState> report(UsageReported fact, LeaseState leases) {
		String key = key(fact.lease(), fact.window());
		if (!leases.isCurrent(fact.lease(), fact.term())) {
			return FoldResult.refused(this, Verdict.TERM_OVER);
		}
		if (!this.unreported.containsKey(key)) {
			return FoldResult.refused(this, Verdict.NOT_OPEN);
		}
		return FoldResult.accepted(
				new UsageState(this.lastSealed, PersistentMaps.without(this.unreported, key), this.flushedThrough));
	}

	private static String key(String lease, long window) {
		return "%s/%012d".formatted(lease, window);
	}

}
