package io.anvilusher.model.fleet;

/**
 * The part of the work that a model engine does.
 */
public enum EngineRole {

	/** Reads prompts and hands their KV cache over. */
	PREFILL,

	/** Generates tokens; reads prompts as well, at a lower speed. */
	DECODE

}
