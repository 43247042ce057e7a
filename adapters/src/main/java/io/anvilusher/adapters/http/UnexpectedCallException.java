package io.anvilusher.adapters.http;

import java.io.IOException;

/**
 * A call failed because of an exception of this process, not of the server or the
 * connection. The cause tells which one.
 */
public final class UnexpectedCallException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param target address of the server, for the message
	 * @param cause the exception or error that was thrown
	 */
	UnexpectedCallException(String target, Throwable cause) {
		super("Unexpected exception in a call to " + target + ": " + cause, cause);
	}

}
