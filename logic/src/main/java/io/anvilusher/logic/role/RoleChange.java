package io.anvilusher.logic.role;

import io.anvilusher.model.fleet.EngineRole;

/**
 * A change of an engine's role.
 *
 * @param engineId identity of the engine
 * @param role the role that it gets
 */
public record RoleChange(String engineId, EngineRole role) {

}
