package io.anvilusher.sidecar.attempt;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.protocol.generated.PeerMessages.AttemptAccepted;
import io.anvilusher.protocol.generated.PeerMessages.AttemptFailed;
import io.anvilusher.protocol.generated.PeerMessages.AttemptQuery;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;
import io.anvilusher.protocol.generated.PeerMessages.AttemptVerdict;
import io.anvilusher.protocol.generated.PeerMessages.Credit;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * Handles messages from entries about attempts. Starts the attempts that may run and
 * refuses the others; a refused attempt is reported as not run.
 */
public final class AttemptHandler {

	private static final Logger LOGGER = LoggerFactory.getLogger(AttemptHandler.class);

	private final ProcessIdentity identity;

	private final MonotonicClock clock;

	private final AdmissionGate gate;

	private final StreamingHttpClient client;

	private final URI backend;

	private final Meters meters;

	private final AttemptHistory history;

	private final AttemptEndListener endListener;

	private final Map<String, RunningAttempt> running = new ConcurrentHashMap<>();

	/**
	 * Creates a handler.
	 * @param identity identity of this process
	 * @param clock the clock that {@code start_before_ms} of an attempt refers to
	 * @param gate decides whether the server accepts an attempt
	 * @param client sends the requests to the backend server
	 * @param backend the HTTP interface of the backend server
	 * @param meters counts refused and ended attempts
	 * @param endListener is notified of the end of each started attempt
	 */
	public AttemptHandler(ProcessIdentity identity, MonotonicClock clock, AdmissionGate gate,
			StreamingHttpClient client, URI backend, Meters meters, AttemptEndListener endListener) {
		this.identity = identity;
		this.clock = clock;
		this.gate = gate;
		this.client = client;
		this.backend = backend;
		this.meters = meters;
		this.endListener = endListener;
		this.history = new AttemptHistory(clock);
	}

	/**
	 * Starts an attempt or refuses it. A suspect starts once no other attempt is running.
	 * @param connection connection to the entry
	 * @param start the attempt
	 */
	public void onStart(PeerConnection connection, AttemptStart start) {
		RunningAttempt attempt = new RunningAttempt(start, connection, this::onEnded);
		Optional<AttemptFailure> refusal = startRefusal(start);
		if (refusal.isEmpty()) {
			refusal = start.getSuspect() ? this.gate.admitAlone(() -> begin(attempt)) : this.gate.admit();
		}
		if (refusal.isPresent()) {
			refuse(connection, start.getAttemptId(), refusal.get());
			return;
		}
		if (!start.getSuspect()) {
			begin(attempt);
		}
	}

	private Optional<AttemptFailure> startRefusal(AttemptStart start) {
		if (!start.getSidecarIncarnation().equals(this.identity.incarnation())) {
			return Optional.of(AttemptFailure.SIDECAR_REPLACED);
		}
		return (this.clock.nowMs() > start.getStartBeforeMs()) ? Optional.of(AttemptFailure.STARTED_TOO_LATE)
				: Optional.empty();
	}

	private void begin(RunningAttempt attempt) {
		AttemptStart start = attempt.start();
		// Checked again, since a suspect may have waited for other attempts to end.
		Optional<AttemptFailure> refusal = startRefusal(start);
		if (refusal.isEmpty() && !this.history.start(start.getAttemptId())) {
			refusal = Optional.of(AttemptFailure.CANCELLED);
		}
		if (refusal.isPresent()) {
			refuse(attempt.connection(), start.getAttemptId(), refusal.get());
			this.gate.release();
			return;
		}
		this.running.put(start.getAttemptId(), attempt);
		attempt.connection()
			.send(Frame.newBuilder()
				.setAttemptAccepted(AttemptAccepted.newBuilder().setAttemptId(start.getAttemptId()))
				.build());
		attempt.begin(this.client, this.backend);
	}

	private void refuse(PeerConnection connection, String attemptId, AttemptFailure reason) {
		this.meters.counter("anvilusher.attempts.refused", "reason", reason.label()).increment();
		connection.send(Frame.newBuilder()
			.setAttemptFailed(
					AttemptFailed.newBuilder().setAttemptId(attemptId).setNotRun(true).setReason(reason.name()))
			.build());
	}

	private void onEnded(RunningAttempt.Ended ended) {
		AttemptStart start = ended.attempt().start();
		this.history.finish(ended.verdict());
		List<String> runningFingerprints = this.running.values()
			.stream()
			.map((attempt) -> attempt.start().getFingerprint())
			.distinct()
			.toList();
		this.running.remove(start.getAttemptId());
		this.meters
			.counter("anvilusher.attempts.ended", "outcome",
					ended.failure().map(AttemptFailure::label).orElse("answered"))
			.increment();
		ended.failure()
			.ifPresent((failure) -> LOGGER.info("Attempt {} of request {} of workspace {} on service {} ended: {}",
					StructuredArguments.value("attempt_id", start.getAttemptId()),
					StructuredArguments.value("request_id", start.getRequestId()),
					StructuredArguments.value("workspace", start.getWorkspace()),
					StructuredArguments.value("service", start.getService()),
					StructuredArguments.value("reason", failure.label())));
		this.gate.release();
		this.endListener.onAttemptEnded(start, ended.failure(), runningFingerprints);
	}

	/**
	 * Aborts an attempt if it is running; otherwise ensures that it never starts.
	 * @param connection connection to the entry
	 * @param attemptId id of the attempt
	 */
	public void onCancel(PeerConnection connection, String attemptId) {
		RunningAttempt attempt = this.running.get(attemptId);
		if (attempt != null) {
			attempt.abort(AttemptFailure.CANCELLED);
			return;
		}
		if (this.history.seal(attemptId).getState() == AttemptVerdict.State.NEVER_STARTED) {
			refuse(connection, attemptId, AttemptFailure.CANCELLED);
		}
	}

	/**
	 * Allows an attempt to send more bytes of its response (credit-based flow control).
	 * @param credit the attempt and the number of bytes
	 */
	public void onCredit(Credit credit) {
		RunningAttempt attempt = this.running.get(credit.getAttemptId());
		if (attempt != null) {
			attempt.addCredit(credit.getBytes());
		}
	}

	/**
	 * Replies to a query about the outcome of an attempt.
	 * @param connection connection that the query came from
	 * @param query the query, which may also ask to seal the attempt
	 */
	public void onQuery(PeerConnection connection, AttemptQuery query) {
		connection.send(Frame.newBuilder().setAttemptVerdict(verdict(query)).build());
	}

	private AttemptVerdict verdict(AttemptQuery query) {
		AttemptVerdict unknown = AttemptVerdict.newBuilder().setAttemptId(query.getAttemptId()).build();
		if (!query.getSidecarIncarnation().equals(this.identity.incarnation())) {
			return unknown;
		}
		return query.getSeal() ? this.history.seal(query.getAttemptId())
				: this.history.find(query.getAttemptId()).orElse(unknown);
	}

	/**
	 * Aborts the attempts of a lost connection, since their responses cannot be delivered
	 * any more. Attempts of requests that may not be repeated continue, so that an entry
	 * can query their outcome later.
	 * @param connection the lost connection
	 */
	public void onConnectionLost(PeerConnection connection) {
		this.running.values()
			.stream()
			.filter((attempt) -> attempt.connection() == connection && attempt.start().getRepeatable())
			.forEach((attempt) -> attempt.abort(AttemptFailure.LINK_LOST));
	}

}
