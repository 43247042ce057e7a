package io.anvilusher.logic.role;

import io.anvilusher.model.fleet.EngineRole;

/**
 * A planned change of an engine's role.
 *
 * @param engineId id of the engine
 * @param role the new role
 */
public record RoleChange(String engineId, EngineRole role) {

}
