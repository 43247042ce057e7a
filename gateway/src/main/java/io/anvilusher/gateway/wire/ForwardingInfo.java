package io.anvilusher.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The values that the gateway adds to the headers of a request that it sends to a server.
 *
 * @param serverId identifier of the server that the request is meant for
 * @param remainingMs time within which the caller needs the response, in ms
 * @param workspace the workspace that the request belongs to; empty for none
 * @param priority priority among the requests at an engine, 0 first; empty for none
 * @param resumeAfter id of the last event that the caller has received; empty to pass on
 * the caller's own value
 * @param step the step that the server performs for the request
 */
public record ForwardingInfo(String serverId, long remainingMs, Optional<String> workspace, OptionalInt priority,
		OptionalLong resumeAfter, KvStep step) {

}
