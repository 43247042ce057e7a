package io.anvilusher.entry.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.AnswerHeader;

/**
 * A checked request, ready to be sent to a backend server.
 *
 * @param requestId id by which the caller and the logs name it
 * @param workspace the workspace of its key; empty on a route that is open to all
 * @param keyId public part of its key; empty on a route that is open to all
 * @param service the service
 * @param method HTTP method
 * @param path path and query
 * @param headers headers for the backend server, without the key
 * @param body body
 * @param repeatable whether it may run more than once
 * @param idempotencyKey the caller's idempotency key, if it sent one
 * @param tokenStream whether its answer is a token stream
 * @param fingerprint hash of its content
 * @param prefixHash hash of the beginning of its prompt, if it has one
 * @param receivedAtMs monotonic time at which it was received
 */
public record CallerRequest(String requestId, Optional<WorkspaceSpec> workspace, String keyId, ServiceSpec service,
		String method, String path, List<AnswerHeader> headers, byte[] body, boolean repeatable,
		Optional<String> idempotencyKey, boolean tokenStream, String fingerprint, OptionalLong prefixHash,
		long receivedAtMs) {

	public CallerRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns the name of the workspace.
	 * @return the name; empty on a route that is open to all
	 */
	public String workspaceName() {
		return this.workspace.map(WorkspaceSpec::name).orElse("");
	}

}
