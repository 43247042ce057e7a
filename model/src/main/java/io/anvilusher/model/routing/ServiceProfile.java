package io.anvilusher.model.routing;

import java.util.Optional;

/**
 * The properties of a service in the routing table.
 *
 * @param name name of the service
 * @param maxConnections number of connections that one server accepts in total
 * @param engine capacity of each of its model engines; empty for a plain service
 */
public record ServiceProfile(String name, int maxConnections, Optional<EngineProfile> engine) {

}
