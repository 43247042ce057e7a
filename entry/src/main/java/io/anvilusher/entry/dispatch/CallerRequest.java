package io.anvilusher.entry.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.HttpHeader;

/**
 * A request that has passed all filters and can be sent to a backend server.
 *
 * @param requestId id of the request, which also appears in the response and the logs
 * @param workspace the workspace of its key; empty on a route that needs no key
 * @param keyId public part of its key; empty on a route that needs no key
 * @param service the service that handles the request
 * @param method HTTP method
 * @param path request path with its query string
 * @param headers headers for the backend server, without those that carry the key
 * @param body request body; empty if there is none
 * @param repeatable whether it may run more than once
 * @param idempotencyKey the caller's idempotency key, if it sent one
 * @param tokenStream whether the caller asked for a token stream as the response
 * @param fingerprint hash of workspace, service, method, path and body
 * @param prefixHash hash of model and prompt prefix; empty unless it is a chat completion
 * @param receivedAtMs time of receipt on the monotonic clock
 */
public record CallerRequest(String requestId, Optional<WorkspaceSpec> workspace, String keyId, ServiceSpec service,
		String method, String path, List<HttpHeader> headers, byte[] body, boolean repeatable,
		Optional<String> idempotencyKey, boolean tokenStream, String fingerprint, OptionalLong prefixHash,
		long receivedAtMs) {

	public CallerRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns the name of the workspace.
	 * @return the name; empty on a route that needs no key
	 */
	public String workspaceName() {
		return this.workspace.map(WorkspaceSpec::name).orElse("");
	}

}
