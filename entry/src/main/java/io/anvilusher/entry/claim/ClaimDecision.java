package io.anvilusher.entry.claim;

import java.util.List;

import com.google.protobuf.ByteString;

import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * The result of resolving or claiming an idempotency key.
 */
public sealed interface ClaimDecision {

	/**
	 * The key is free: a claim based on the given offset can be accepted.
	 *
	 * @param baseOffset offset of the previous claim, whose attempt is proven not to have
	 * run; 0 if there was none
	 */
	record Free(long baseOffset) implements ClaimDecision {

	}

	/**
	 * The request is claimed: its attempt may be sent once.
	 */
	record Granted() implements ClaimDecision {

	}

	/**
	 * The request has already run; the stored response is sent to the caller.
	 *
	 * @param status HTTP status
	 * @param headers the response headers
	 * @param body the complete response body
	 */
	record Replay(int status, List<HttpHeader> headers, ByteString body) implements ClaimDecision {

		public Replay {
			headers = List.copyOf(headers);
		}

	}

	/**
	 * The request must not be sent.
	 *
	 * @param reason the reason reported to the caller
	 */
	record Refused(RefusalReason reason) implements ClaimDecision {

	}

}
