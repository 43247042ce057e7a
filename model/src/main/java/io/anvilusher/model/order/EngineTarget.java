package io.anvilusher.model.order;

/**
 * The role, model, adapter and version that an engine has or must change to.
 *
 * @param role its role in serving, such as prefill, decode or mixed
 * @param model the model to load
 * @param adapter the adapter to load; empty for none
 * @param version version of the model's weights
 */
public record EngineTarget(String role, String model, String adapter, String version) {

}
