package io.anvilusher.model.config;

/**
 * What the engines of a model service shall load.
 *
 * @param version version of the model's weights
 * @param adapter the adapter; empty for none
 */
public record EngineSpec(String version, String adapter) {

}
