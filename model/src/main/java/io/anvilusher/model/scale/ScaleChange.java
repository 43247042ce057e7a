package io.anvilusher.model.scale;

/**
 * A change of fleet size by one backend server.
 *
 * @param kind the direction
 * @param dataCentre the data centre
 * @param service the service whose fleet changes
 * @param server the server to give back; empty when one is ordered
 */
public record ScaleChange(ScaleKind kind, String dataCentre, String service, String server) {

}
