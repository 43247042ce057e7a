package io.anvilusher.model.fleet;

/**
 * The phase of inference that a model engine works on.
 */
public enum EngineRole {

	/** Runs the prefill of prompts and passes their KV cache on to a decode engine. */
	PREFILL,

	/** Generates tokens. Can also run the prefill of prompts, at a lower speed. */
	DECODE

}
