package io.anvilusher.gateway.wire;

import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.request.PromptShape;

/**
 * What the head of a caller's request says.
 *
 * @param attemptId identity of this attempt of the caller; empty if it has none
 * @param remainingMs time that the caller will wait, in ms; empty if it does not say
 * @param key the caller's key; empty if none came
 * @param prompt size of the prompt; empty if the request carries none
 */
public record CallerHead(String attemptId, OptionalLong remainingMs, Optional<String> key,
		Optional<PromptShape> prompt) {

}
