package io.anvilusher.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;

import io.anvilusher.model.request.RefusalReason;

/**
 * Writes the body of error responses in the format of OpenAI-compatible APIs, extended by
 * the request id and whether the request may have run.
 */
final class ErrorBody {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private ErrorBody() {
	}

	static ByteString write(RefusalReason reason, String detail, String requestId) {
		ObjectNode root = MAPPER.createObjectNode();
		ObjectNode error = root.putObject("error");
		error.put("message", detail.isEmpty() ? reason.code().replace('_', ' ') : detail);
		error.put("type", (reason.httpStatus() < FIRST_SERVER_ERROR_STATUS) ? "invalid_request_error" : "server_error");
		error.putNull("param");
		error.put("code", reason.code());
		error.put("request_id", requestId);
		error.put("run", runState(reason));
		try {
			return ByteString.copyFrom(MAPPER.writeValueAsBytes(root));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not serialize an error body as JSON", ex);
		}
	}

	static String runState(RefusalReason reason) {
		return reason.notRun() ? "not_run" : "unknown";
	}

}
