package io.anvilusher.model.routing;

/**
 * The capacity of each model engine of a service.
 *
 * @param slots number of requests that an engine runs at once
 * @param kvCapacityTokens capacity of an engine's KV cache, in tokens
 */
public record EngineProfile(int slots, long kvCapacityTokens) {

}
