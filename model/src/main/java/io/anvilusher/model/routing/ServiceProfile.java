package io.anvilusher.model.routing;

import java.util.Optional;

/**
 * A service.
 *
 * @param name name of the service
 * @param maxConnections connections that one server accepts from all callers together
 * @param engine what its model engines have in common; empty for a plain service
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {

}
