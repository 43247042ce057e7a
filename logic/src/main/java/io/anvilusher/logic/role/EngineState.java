package io.anvilusher.logic.role;

import io.anvilusher.model.fleet.EngineRole;

/**
 * State of an engine by its newest report.
 *
 * @param id id of the engine
 * @param dataCentre data centre of the engine
 * @param role current role
 * @param slots maximum number of requests that the engine runs concurrently
 * @param requests number of requests running or queued at the engine
 * @param changing whether the engine must not get an order now, because it is executing
 * one or the outcome of its last one is unknown
 * @param changedByOrder whether the engine has accepted orders since its start
 */
public record EngineState(String id, String dataCentre, EngineRole role, int slots, int requests, boolean changing,
		boolean changedByOrder) {

}
