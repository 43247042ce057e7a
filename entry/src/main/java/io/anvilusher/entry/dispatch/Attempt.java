package io.anvilusher.entry.dispatch;

import java.util.ArrayList;
import java.util.List;

import io.netty.util.Timeout;

import io.anvilusher.logic.request.AnswerFrames;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.protocol.generated.PeerMessages.AnswerChunk;
import io.anvilusher.protocol.generated.PeerMessages.AnswerEnd;
import io.anvilusher.protocol.generated.PeerMessages.AnswerHead;
import io.anvilusher.protocol.generated.PeerMessages.AttemptCancel;
import io.anvilusher.protocol.generated.PeerMessages.AttemptFailed;
import io.anvilusher.protocol.generated.PeerMessages.Credit;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * One attempt as the entry follows it. Checks that the frames of the answer are whole and
 * in order, and ends exactly once.
 */
final class Attempt {

	private final String id;

	private final BackendServer server;

	private final AttemptListener listener;

	private final Runnable onEnd;

	private final List<Timeout> timeouts = new ArrayList<>();

	private final AnswerFrames frames = new AnswerFrames();

	private boolean accepted;

	private boolean headSeen;

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
	 * Cancels a timeout when the attempt ends, so that it holds the request no longer.
	 * @param timeout the timeout
	 */
	synchronized void watchedBy(Timeout timeout) {
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
		return this.headSeen;
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
			this.headSeen = true;
		}
		if (!this.frames.onHead()) {
			breakOff();
			return;
		}
		List<AnswerHeader> headers = head.getHeadersList()
			.stream()
			.map((header) -> new AnswerHeader(header.getName(), header.getValue()))
			.toList();
		this.listener.onHead(head.getStatus(), headers);
	}

	void onChunk(AnswerChunk chunk) {
		if (isEnded()) {
			return;
		}
		if (!this.frames.onChunk(chunk.getSequence(), chunk.getData().size())) {
			breakOff();
			return;
		}
		this.listener.onChunk(chunk.getData());
	}

	void onAnswerEnd(AnswerEnd end) {
		if (isEnded()) {
			return;
		}
		boolean whole = this.frames.onEnd(end.getChunkCount(), end.getByteCount());
		AttemptOutcome outcome = whole ? new AttemptOutcome.Answered()
				: new AttemptOutcome.Unknown(AttemptFailure.FRAMES_BROKEN);
		end(outcome, end.getPromptTokens(), end.getOutputTokens());
	}

	void onFailed(AttemptFailed failed) {
		AttemptFailure reason = failure(failed.getReason());
		// Frames after the head prove that the attempt ran, whatever the failure says.
		boolean notRun = failed.getNotRun() && !hasHead();
		end(notRun ? new AttemptOutcome.NotRun(reason) : new AttemptOutcome.Unknown(reason), failed.getPromptTokens(),
				failed.getOutputTokens());
	}

	private static AttemptFailure failure(String name) {
		try {
			return AttemptFailure.valueOf(name);
		}
		catch (IllegalArgumentException ex) {
			return AttemptFailure.SERVER_CRASHED;
		}
	}

	/**
	 * Gives up on the attempt and tells the sidecar to break it off.
	 * @param reason why
	 */
	void abandon(AttemptFailure reason) {
		if (isEnded()) {
			return;
		}
		sendCancel();
		end(new AttemptOutcome.Unknown(reason), 0, 0);
	}

	/**
	 * Asks the sidecar to break the attempt off and to say whether it ran.
	 */
	void sendCancel() {
		connection()
			.send(Frame.newBuilder().setAttemptCancel(AttemptCancel.newBuilder().setAttemptId(this.id)).build());
	}

	void addCredit(int bytes) {
		connection()
			.send(Frame.newBuilder().setCredit(Credit.newBuilder().setAttemptId(this.id).setBytes(bytes)).build());
	}

	private void breakOff() {
		sendCancel();
		end(new AttemptOutcome.Unknown(AttemptFailure.FRAMES_BROKEN), 0, 0);
	}

	/**
	 * Ends the attempt, unless it has ended.
	 * @param outcome how
	 * @param promptTokens prompt tokens read
	 * @param outputTokens tokens generated
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
