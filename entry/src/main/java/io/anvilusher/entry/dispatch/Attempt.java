package io.anvilusher.entry.dispatch;

import java.util.ArrayList;
import java.util.List;

import io.netty.util.Timeout;

import io.anvilusher.logic.request.ResponseFrameChecker;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.protocol.generated.PeerMessages.AnswerChunk;
import io.anvilusher.protocol.generated.PeerMessages.AnswerEnd;
import io.anvilusher.protocol.generated.PeerMessages.AnswerHead;
import io.anvilusher.protocol.generated.PeerMessages.AttemptCancel;
import io.anvilusher.protocol.generated.PeerMessages.AttemptFailed;
import io.anvilusher.protocol.generated.PeerMessages.Credit;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * The entry's side of one attempt. Checks that the response frames of the sidecar are
 * complete and in order, and ends exactly once.
 */
final class Attempt {

	private final String id;

	private final BackendServer server;

	private final AttemptListener listener;

	private final Runnable onEnd;

	private final List<Timeout> timeouts = new ArrayList<>();

	private final ResponseFrameChecker frames = new ResponseFrameChecker();

	private boolean accepted;

	private boolean headReceived;

	private boolean ended;

	Attempt(String id, BackendServer server, AttemptListener listener, Runnable onEnd) {
		this.id = id;
		this.server = server;
		this.listener = listener;
		this.onEnd = onEnd;
	}

	String id() {
		return this.id;
	}

	BackendServer server() {
		return this.server;
	}

	PeerConnection connection() {
		return this.server.connection();
	}

	/**
	 * Registers a timeout that is cancelled when the attempt ends, so that the timer does
	 * not keep the request in memory.
	 * @param timeout the timeout; cancelled at once if the attempt has ended
	 */
	synchronized void cancelAtEnd(Timeout timeout) {
		if (this.ended) {
			timeout.cancel();
			return;
		}
		this.timeouts.add(timeout);
	}

	synchronized boolean isAccepted() {
		return this.accepted;
	}

	synchronized boolean hasHead() {
		return this.headReceived;
	}

	synchronized boolean isEnded() {
		return this.ended;
	}

	synchronized void onAccepted() {
		this.accepted = true;
	}

	void onHead(AnswerHead head) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.headReceived = true;
		}
		if (!this.frames.onHead()) {
			abortBrokenFrames();
			return;
		}
		List<HttpHeader> headers = head.getHeadersList()
			.stream()
			.map((header) -> new HttpHeader(header.getName(), header.getValue()))
			.toList();
		this.listener.onHead(head.getStatus(), headers);
	}

	void onChunk(AnswerChunk chunk) {
		if (isEnded()) {
			return;
		}
		if (!this.frames.onChunk(chunk.getSequence(), chunk.getData().size())) {
			abortBrokenFrames();
			return;
		}
		this.listener.onChunk(chunk.getData());
	}

	void onResponseEnd(AnswerEnd end) {
		if (isEnded()) {
			return;
		}
		boolean complete = this.frames.onEnd(end.getChunkCount(), end.getByteCount());
		AttemptOutcome outcome = complete ? new AttemptOutcome.Completed()
				: new AttemptOutcome.Unknown(AttemptFailure.FRAMES_BROKEN);
		end(outcome, end.getPromptTokens(), end.getOutputTokens());
	}

	void onFailed(AttemptFailed failed) {
		AttemptFailure reason = parseFailure(failed.getReason());
		// A response head proves that the attempt ran, whatever the failure frame says.
		boolean notRun = failed.getNotRun() && !hasHead();
		end(notRun ? new AttemptOutcome.NotRun(reason) : new AttemptOutcome.Unknown(reason), failed.getPromptTokens(),
				failed.getOutputTokens());
	}

	private static AttemptFailure parseFailure(String name) {
		try {
			return AttemptFailure.valueOf(name);
		}
		catch (IllegalArgumentException ex) {
			return AttemptFailure.SERVER_CRASHED;
		}
	}

	/**
	 * Cancels the attempt at the sidecar and ends it at once with an unknown outcome.
	 * @param reason the reason for the unknown outcome
	 */
	void abandon(AttemptFailure reason) {
		if (isEnded()) {
			return;
		}
		sendCancel();
		end(new AttemptOutcome.Unknown(reason), 0, 0);
	}

	/**
	 * Asks the sidecar to cancel the attempt and to report whether it ran.
	 */
	void sendCancel() {
		connection()
			.send(Frame.newBuilder().setAttemptCancel(AttemptCancel.newBuilder().setAttemptId(this.id)).build());
	}

	void addCredit(int bytes) {
		connection()
			.send(Frame.newBuilder().setCredit(Credit.newBuilder().setAttemptId(this.id).setBytes(bytes)).build());
	}

	private void abortBrokenFrames() {
		sendCancel();
		end(new AttemptOutcome.Unknown(AttemptFailure.FRAMES_BROKEN), 0, 0);
	}

	/**
	 * Ends the attempt and notifies the listener; does nothing if it has already ended.
	 * @param outcome the outcome
	 * @param promptTokens number of prompt tokens processed
	 * @param outputTokens number of tokens generated
	 */
	void end(AttemptOutcome outcome, long promptTokens, long outputTokens) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			this.timeouts.forEach(Timeout::cancel);
		}
		this.onEnd.run();
		this.listener.onEnded(outcome, promptTokens, outputTokens);
	}

}
