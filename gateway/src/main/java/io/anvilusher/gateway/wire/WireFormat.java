package io.anvilusher.gateway.wire;

import java.util.List;
import java.util.Optional;

import io.undertow.util.HeaderMap;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.model.request.AnswerHeader;

/**
 * Reads and writes the headers and bodies of a deployment. Implementations decide
 * nothing.
 */
public interface WireFormat {

	/**
	 * Reads the head of a caller's request.
	 * @param headers the headers
	 * @return what it says
	 */
	CallerHead readCaller(HeaderMap headers);

	/**
	 * Makes the headers of a request to a server: the caller's, less those of its
	 * connection and those that only the system sets, and those of the system.
	 * @param caller the caller's headers
	 * @param send what the server is told
	 * @return the headers
	 */
	List<AnswerHeader> toServer(HeaderMap caller, ServerSend send);

	/**
	 * Reads the head of a server's answer.
	 * @param status status code
	 * @param headers the headers
	 * @return what it says
	 */
	ServerHead readServer(int status, List<AnswerHeader> headers);

	/**
	 * Reads a prefill engine's name for the KV cache that it keeps.
	 * @param body body of its answer
	 * @return the name, or empty if the body has none
	 */
	Optional<String> readHandle(byte[] body);

	/**
	 * Makes the call that frees a KV cache that will not be fetched.
	 * @param source address of the engine that keeps it
	 * @param handle name that the engine gave the KV cache
	 * @return the call
	 */
	HttpCall freeHandle(String source, String handle);

}
