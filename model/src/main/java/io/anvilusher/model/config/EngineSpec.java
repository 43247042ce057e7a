package io.anvilusher.model.config;

/**
 * The weights and the adapter that the engines of a model service must load.
 *
 * @param version version of the model's weights
 * @param adapter the adapter; empty for none
 */
public record EngineSpec(String version, String adapter) {

}
