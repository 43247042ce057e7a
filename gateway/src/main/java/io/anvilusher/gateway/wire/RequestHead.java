package io.anvilusher.gateway.wire;

import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.request.PromptShape;

/**
 * The values read from the headers of a caller's request.
 *
 * @param attemptId identifier that the caller gave to this attempt; empty if none
 * @param remainingMs time that the caller waits for the response, in ms; empty if the
 * request does not say
 * @param key the caller's key; empty if the request has none
 * @param prompt size and shared parts of the prompt; empty if the request has no prompt
 * @param tokens sum of the token counts that the request states, bounded; empty if it
 * states none
 * @param resumesStream whether the caller has the beginning of the stream already
 * @param resumesRequest identifier of the caller's request that brought the first event
 * of that stream; empty if the caller does not name it
 */
public record RequestHead(String attemptId, OptionalLong remainingMs, Optional<String> key,
		Optional<PromptShape> prompt, OptionalLong tokens, boolean resumesStream, Optional<String> resumesRequest) {

}
