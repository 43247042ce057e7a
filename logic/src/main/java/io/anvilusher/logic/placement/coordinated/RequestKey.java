package io.anvilusher.logic.placement.coordinated;

/**
 * Identifies a placement request among those of all gateways.
 *
 * @param gateway name of the gateway that received the request from its client
 * @param number number that the gateway assigned to the request
 */
public record RequestKey(String gateway, long number) {

}
