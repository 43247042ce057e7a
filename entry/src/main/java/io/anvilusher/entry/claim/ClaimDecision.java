package io.anvilusher.entry.claim;

import java.util.List;

import com.google.protobuf.ByteString;

import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.RefusalReason;

/**
 * What an idempotency claim allows.
 */
public sealed interface ClaimDecision {

	/**
	 * The key is free: a claim based on the given offset may win.
	 *
	 * @param baseOffset offset of the claim that was proved not run; 0 when there was
	 * none
	 */
	record Free(long baseOffset) implements ClaimDecision {

	}

	/**
	 * The attempt may be sent, once.
	 */
	record Granted() implements ClaimDecision {

	}

	/**
	 * The call ran before; this is its answer.
	 *
	 * @param status HTTP status
	 * @param headers headers
	 * @param body body
	 */
	record Replay(int status, List<AnswerHeader> headers, ByteString body) implements ClaimDecision {

		public Replay {
			headers = List.copyOf(headers);
		}

	}

	/**
	 * The call may not be sent.
	 *
	 * @param reason why
	 */
	record Refused(RefusalReason reason) implements ClaimDecision {

	}

}
