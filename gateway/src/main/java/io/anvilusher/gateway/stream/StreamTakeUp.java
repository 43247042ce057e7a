package io.anvilusher.gateway.stream;

import io.anvilusher.model.request.RefusalReason;

/**
 * The decision about a request whose caller has the beginning of a stream already.
 */
public sealed interface StreamTakeUp permits StreamTakeUp.Bound, StreamTakeUp.Refused {

	/**
	 * The stream may go on.
	 *
	 * @param binding the servers that it may go on at
	 */
	record Bound(StreamBinding.SoftwareVersion binding) implements StreamTakeUp {

		String label() {
			return this.binding.version();
		}

	}

	/**
	 * No server can go on with the stream, or it is not known which one.
	 *
	 * @param reason why the request is refused
	 */
	record Refused(RefusalReason reason) implements StreamTakeUp {

	}

}
