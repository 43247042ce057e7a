package io.anvilusher.model.scale;

/**
 * A change to the size of a fleet by one backend server.
 *
 * @param kind whether a server is ordered or released
 * @param dataCentre name of the data centre
 * @param service name of the service whose fleet changes
 * @param server name of the server to release; empty if a server is ordered
 */
public record ScaleChange(ScaleKind kind, String dataCentre, String service, String server) {

}
