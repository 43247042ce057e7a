package io.anvilusher.gateway.wire;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the gateway tells a server along with a caller's request.
 *
 * @param serverId the server that the request is meant for
 * @param remainingMs time in which the answer is of use
 * @param workspace the workspace that the request runs for; empty for none
 * @param urgency rank among the requests at an engine, 0 first; empty for no rank
 * @param resumeAfter id of the last event that the caller has; empty to leave what the
 * caller sent
 * @param step part of a split request
 */
public record ServerSend(String serverId, long remainingMs, Optional<String> workspace, OptionalInt urgency,
		OptionalLong resumeAfter, KvStep step) {

}
