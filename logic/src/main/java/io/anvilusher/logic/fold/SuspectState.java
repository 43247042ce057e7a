package io.anvilusher.logic.fold;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.anvilusher.model.fact.CrashObserved;
import io.anvilusher.model.fact.SuspectCleared;
import io.anvilusher.model.suspect.SuspectRequest;

/**
 * The requests that were running when backend servers crashed, and are therefore
 * suspected of causing the crashes.
 *
 * @param byFingerprint the requests by fingerprint
 */
public record SuspectState(Map<String, SuspectRequest> byFingerprint) {

	/** The state before the first crash. */
	static final SuspectState EMPTY = new SuspectState(Map.of());

	/** Number of suspects above which each crash record evicts the oldest suspect. */
	private static final int MAX_SUSPECTS = 4096;

	public SuspectState {
		byFingerprint = PersistentMaps.of(byFingerprint);
	}

	/**
	 * Returns the number of crashes during which a request was running.
	 * @param fingerprint hash of the request
	 * @return the number; 0 if the request is not suspected
	 */
	public int crashes(String fingerprint) {
		return Optional.ofNullable(this.byFingerprint.get(fingerprint))
			.map((suspect) -> suspect.crashIds().size())
			.orElse(0);
	}

	FoldResult<SuspectState> observe(long offset, CrashObserved fact) {
		Map<String, SuspectRequest> suspects = this.byFingerprint;
		for (String fingerprint : fact.fingerprints()) {
			SuspectRequest existing = suspects.getOrDefault(fingerprint,
					new SuspectRequest(fingerprint, Set.of(), offset));
			Set<String> crashIds = new HashSet<>(existing.crashIds());
			crashIds.add(fact.crashId());
			suspects = PersistentMaps.with(suspects, fingerprint,
					new SuspectRequest(fingerprint, crashIds, existing.firstOffset()));
		}
		return FoldResult.accepted(new SuspectState(suspects).evictOldestIfFull());
	}

	FoldResult<SuspectState> clear(SuspectCleared fact) {
		if (!this.byFingerprint.containsKey(fact.fingerprint())) {
			return FoldResult.refused(this, Verdict.NOT_OPEN);
		}
		return FoldResult.accepted(new SuspectState(PersistentMaps.without(this.byFingerprint, fact.fingerprint())));
	}

	private SuspectState evictOldestIfFull() {
		if (this.byFingerprint.size() <= MAX_SUSPECTS) {
			return this;
		}
		return this.byFingerprint.values()
			.stream()
			.min((left, right) -> Long.compare(left.firstOffset(), right.firstOffset()))
			.map((oldest) -> new SuspectState(PersistentMaps.without(this.byFingerprint, oldest.fingerprint())))
			.orElse(this);
	}

}
