package io.anvilusher.logic.fold;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.anvilusher.model.fact.KeyGranted;
import io.anvilusher.model.fact.KeyWithdrawn;
import io.anvilusher.model.key.WorkspaceKey;

/**
 * All workspace keys that were ever granted. A withdrawn key stays in the state so that
 * it cannot be granted again.
 *
 * @param byId the keys by key id
 */
public record KeyState(Map<String, WorkspaceKey> byId) {

	/** The state before the first key. */
	static final KeyState EMPTY = new KeyState(Map.of());

	public KeyState {
		byId = PersistentMaps.of(byId);
	}

	/**
	 * Finds a key.
	 * @param keyId public part of the key
	 * @return the key, which may be withdrawn, or empty if it was never granted
	 */
	public Optional<WorkspaceKey> find(String keyId) {
		return Optional.ofNullable(this.byId.get(keyId));
	}

	/**
	 * Returns the keys that were withdrawn between two states.
	 * @param before the earlier state
	 * @param after the later state
	 * @return the ids of these keys
	 */
	public static List<String> withdrawnSince(KeyState before, KeyState after) {
		if (before.byId == after.byId) {
			return List.of();
		}
		return after.byId.values()
			.stream()
			.filter(WorkspaceKey::withdrawn)
			.map(WorkspaceKey::keyId)
			.filter((keyId) -> before.find(keyId).filter(WorkspaceKey::withdrawn).isEmpty())
			.toList();
	}

	FoldResult<KeyState> grant(KeyGranted fact) {
		if (this.byId.containsKey(fact.keyId())) {
			return FoldResult.refused(this, Verdict.STALE_BASE);
		}
		return FoldResult.accepted(with(new WorkspaceKey(fact.keyId(), fact.workspace(), fact.secretHash(), false)));
	}

	FoldResult<KeyState> withdraw(KeyWithdrawn fact) {
		return find(fact.keyId()).filter((key) -> !key.withdrawn())
			.map((key) -> FoldResult
				.accepted(with(new WorkspaceKey(key.keyId(), key.workspace(), key.secretHash(), true))))
			.orElseGet(() -> FoldResult.refused(this, Verdict.NOT_OPEN));
	}

	private KeyState with(WorkspaceKey key) {
		return new KeyState(PersistentMaps.with(this.byId, key.keyId(), key));
	}

}
