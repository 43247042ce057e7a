package io.anvilusher.model.routing;

/**
 * What all model engines of a service have in common.
 *
 * @param slots requests that an engine runs at once
 * @param kvCapacityTokens tokens that an engine's KV cache holds
 */
public record EngineProfile(int slots, long kvCapacityTokens) {

}
