package io.anvilusher.gateway.wire;

import java.util.List;
import java.util.Optional;

import io.undertow.util.HeaderMap;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.model.request.HttpHeader;

/**
 * Reads and writes headers and bodies in the format of a deployment. Implementations only
 * translate; they make no decisions.
 */
public interface WireFormat {

	/**
	 * Returns the identifier of a caller's request, for the log. Also usable if the
	 * request cannot be read.
	 * @param headers headers of the request
	 * @return the identifier; empty if there is none
	 */
	String requestId(HeaderMap headers);

	/**
	 * Reads the headers of a caller's request.
	 * @param headers the headers
	 * @return the values read
	 */
	RequestHead readRequestHead(HeaderMap headers);

	/**
	 * Builds the headers of a request to a server: the caller's headers without those of
	 * its connection and those reserved for the system, plus the headers that the gateway
	 * sets.
	 * @param callerHeaders the caller's headers
	 * @param info the values that the gateway sets
	 * @return the headers to send
	 */
	List<HttpHeader> forwardedHeaders(HeaderMap callerHeaders, ForwardingInfo info);

	/**
	 * Reads the head of a server's response.
	 * @param status status code of the response
	 * @param headers the headers
	 * @return the values read
	 */
	ResponseHead readResponseHead(int status, List<HttpHeader> headers);

	/**
	 * Reads the handle of the KV cache from a prefill engine's response.
	 * @param body body of the response
	 * @return the handle, or empty if the body has none
	 */
	Optional<String> readHandle(byte[] body);

	/**
	 * Creates the call that frees a KV cache that will not be fetched.
	 * @param source address (IP and port) of the engine that keeps the KV cache
	 * @param handle identifier that the engine assigned to the KV cache
	 * @return the call
	 */
	HttpCall freeHandle(String source, String handle);

}
