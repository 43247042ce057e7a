package io.anvilusher.logic.role;

import io.anvilusher.model.fleet.EngineRole;

/**
 * What an engine says of itself.
 *
 * @param id identity of the engine
 * @param dataCentre its data centre
 * @param role its role
 * @param slots requests that it runs at once
 * @param requests requests that run or wait there
 * @param changing whether it is carrying out an order
 * @param ordered whether it has carried out orders since its start
 */
public record EngineState(String id, String dataCentre, EngineRole role, int slots, int requests, boolean changing,
		boolean ordered) {

}
