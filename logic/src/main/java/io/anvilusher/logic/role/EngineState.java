package io.anvilusher.logic.role;

import java.util.Optional;

import io.anvilusher.model.fleet.EngineRole;

/**
 * State of an engine by its newest report.
 *
 * @param id id of the engine
 * @param dataCentre data centre of the engine
 * @param softwareVersion version of its software
 * @param role current role
 * @param pendingRole role of an order that the engine has accepted, or may still accept,
 * and that its reports do not show yet
 * @param slots maximum number of requests that the engine runs concurrently
 * @param requests number of requests running or queued at the engine
 * @param changing whether the engine must not get an order now, because it is executing
 * one or the outcome of its last one is unknown
 * @param changedByOrder whether the engine has accepted orders since its start
 */
public record EngineState(String id, String dataCentre, String softwareVersion, EngineRole role,
		Optional<EngineRole> pendingRole, int slots, int requests, boolean changing, boolean changedByOrder) {

	/**
	 * Returns whether the engine certainly keeps or gets the decode role. An engine whose
	 * change to another role may be under way does not count, and neither does one whose
	 * change to the decode role is not complete.
	 * @return whether the role is decode and no order can still change it
	 */
	public boolean isSureToDecode() {
		return this.role == EngineRole.DECODE && this.pendingRole.filter((next) -> next != EngineRole.DECODE).isEmpty();
	}

}
