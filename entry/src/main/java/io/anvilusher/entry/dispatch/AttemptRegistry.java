package io.anvilusher.entry.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * The attempts in progress. A frame is passed to an attempt only if it carries the
 * attempt's id and arrives on the connection that the attempt was sent on. Other frames
 * are late or misdirected; they are dropped and counted.
 */
public final class AttemptRegistry {

	private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();

	private final Meters meters;

	/**
	 * Creates an empty registry.
	 * @param meters counts dropped frames
	 */
	public AttemptRegistry(Meters meters) {
		this.meters = meters;
	}

	void add(Attempt attempt) {
		this.attempts.put(attempt.id(), attempt);
	}

	void remove(Attempt attempt) {
		this.attempts.remove(attempt.id());
	}

	/**
	 * Passes a frame to its attempt.
	 * @param connection the connection that the frame arrived on
	 * @param frame the frame
	 * @return whether the frame belongs to an attempt by its kind, even if it was dropped
	 */
	public boolean onFrame(PeerConnection connection, Frame frame) {
		switch (frame.getBodyCase()) {
			case ATTEMPT_ACCEPTED ->
				find(connection, frame.getAttemptAccepted().getAttemptId()).ifPresent(Attempt::onAccepted);
			case ANSWER_HEAD -> find(connection, frame.getAnswerHead().getAttemptId())
				.ifPresent((attempt) -> attempt.onHead(frame.getAnswerHead()));
			case ANSWER_CHUNK -> find(connection, frame.getAnswerChunk().getAttemptId())
				.ifPresent((attempt) -> attempt.onChunk(frame.getAnswerChunk()));
			case ANSWER_END -> find(connection, frame.getAnswerEnd().getAttemptId())
				.ifPresent((attempt) -> attempt.onResponseEnd(frame.getAnswerEnd()));
			case ATTEMPT_FAILED -> find(connection, frame.getAttemptFailed().getAttemptId())
				.ifPresent((attempt) -> attempt.onFailed(frame.getAttemptFailed()));
			default -> {
				return false;
			}
		}
		return true;
	}

	private Optional<Attempt> find(PeerConnection connection, String attemptId) {
		Optional<Attempt> attempt = Optional.ofNullable(this.attempts.get(attemptId))
			.filter((found) -> found.connection() == connection);
		if (attempt.isEmpty()) {
			this.meters.counter("anvilusher.frames.dropped").increment();
		}
		return attempt;
	}

	/**
	 * Ends the attempts of a lost connection with an unknown outcome.
	 * @param connection the connection that was closed
	 */
	public void onClosed(PeerConnection connection) {
		List<Attempt> lost = this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.connection() == connection)
			.toList();
		lost.forEach((attempt) -> attempt.end(new AttemptOutcome.Unknown(AttemptFailure.LINK_LOST), 0, 0));
	}

}
