package io.anvilusher.gateway.stream;

/**
 * Where a stream began.
 *
 * @param service name of the service
 * @param softwareVersion software version of the server that sent the first event, as the
 * server registered it
 */
public record StreamOrigin(String service, String softwareVersion) {

}
