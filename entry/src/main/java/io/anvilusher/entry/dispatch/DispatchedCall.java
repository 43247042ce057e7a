package io.anvilusher.entry.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import net.logstash.logback.argument.StructuredArguments;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.entry.claim.ClaimDecision;
import io.anvilusher.logic.retry.RequestProgress;
import io.anvilusher.logic.retry.RetryDecision;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.ClaimOutcome;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.model.usage.UsageLine;

/**
 * A request on its way from its caller to backend servers and back. Holds an answer back
 * until it is whole, or too large to hold, or the first token of a stream; until then
 * another attempt can take its place.
 */
final class DispatchedCall implements AttemptListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(DispatchedCall.class);

	private static final int MAX_HELD_ANSWER_BYTES = 256 * 1024;

	private static final int HTTP_OK = 200;

	private static final int MAX_CLAIM_TRIES = 3;

	/** Servers that a request may crash. */
	private static final int MAX_CRASHES = 2;

	/** Pause before the first retry; each further one is twice as long. */
	private static final long RETRY_DELAY_MS = 10;

	/** Time for a full server's next report to arrive. */
	private static final long REQUEUE_DELAY_MS = 25;

	private final CallerRequest request;

	private final AnswerSink sink;

	private final Dispatcher dispatcher;

	private final Set<String> excludedServers = new HashSet<>();

	private @Nullable Attempt attempt;

	private Optional<String> claimedAttemptId = Optional.empty();

	private long claimBaseOffset;

	private int claimTries;

	private int attempts;

	private int ownCrashes;

	private boolean mayHaveRun;

	private boolean committed;

	private boolean finished;

	private int status;

	private List<AnswerHeader> headers = List.of();

	private ByteString held = ByteString.EMPTY;

	DispatchedCall(CallerRequest request, AnswerSink sink, Dispatcher dispatcher) {
		this.request = request;
		this.sink = sink;
		this.dispatcher = dispatcher;
	}

	CallerRequest request() {
		return this.request;
	}

	synchronized boolean isFinished() {
		return this.finished;
	}

	synchronized Set<String> excludedServers() {
		return Set.copyOf(this.excludedServers);
	}

	long remainingMs() {
		return this.request.receivedAtMs() + this.request.service().targets().deadlineMs()
				- this.dispatcher.clock().nowMs();
	}

	/**
	 * Returns the longest time that the request may wait for a server: work that somebody
	 * waits for is refused early when it cannot meet its target.
	 * @return the time in milliseconds since the request was received
	 */
	long queueLimitMs() {
		boolean urgent = this.request.workspace().map(WorkspaceSpec::urgent).orElse(false);
		long deadlineMs = this.request.service().targets().deadlineMs();
		return urgent ? Math.min(this.request.service().targets().firstTokenMs(), deadlineMs) : deadlineMs / 2;
	}

	private boolean needsClaim() {
		return !this.request.repeatable() && this.request.idempotencyKey().isPresent();
	}

	/**
	 * Tells whether the request may crash its server, so that it has to run alone.
	 * @return whether it may
	 */
	boolean isSuspect() {
		synchronized (this) {
			if (this.ownCrashes > 0) {
				return true;
			}
		}
		return this.dispatcher.suspects().isSuspect(this.request.fingerprint());
	}

	void begin() {
		if (this.dispatcher.suspects().isRefused(this.request.fingerprint()) || ownCrashes() >= MAX_CRASHES) {
			refuse(RefusalReason.REQUEST_CRASHES_SERVERS, "");
			return;
		}
		if (needsClaim()) {
			this.dispatcher.claims().resolve(this.request, this::onClaimResolved);
			return;
		}
		this.dispatcher.enqueue(this);
	}

	private void onClaimResolved(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Free free) {
			synchronized (this) {
				this.claimBaseOffset = free.baseOffset();
			}
			this.dispatcher.enqueue(this);
			return;
		}
		onClaimRefused(decision);
	}

	private void onClaimRefused(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Replay replay) {
			replay(replay);
			return;
		}
		ClaimDecision.Refused refused = (ClaimDecision.Refused) decision;
		refuse(refused.reason(), "");
	}

	private void replay(ClaimDecision.Replay replay) {
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
		}
		this.sink.answer(replay.status(), replay.headers(), replay.body());
		count("replayed");
		this.dispatcher.onFinished(this);
	}

	/**
	 * Sends the call to a server that was picked for it.
	 * @param server the server, on which an attempt is counted already
	 */
	void launch(BackendServer server) {
		if (isFinished()) {
			this.dispatcher.release(server);
			return;
		}
		String attemptId = Dispatcher.newAttemptId();
		if (!needsClaim()) {
			this.dispatcher.send(this, attemptId, server);
			return;
		}
		long baseOffset;
		synchronized (this) {
			this.claimTries++;
			baseOffset = this.claimBaseOffset;
		}
		this.dispatcher.claims()
			.claim(this.request, attemptId, server.name(), server.incarnation(), baseOffset,
					(decision) -> onClaimDecided(decision, attemptId, server));
	}

	private void onClaimDecided(ClaimDecision decision, String attemptId, BackendServer server) {
		if (decision instanceof ClaimDecision.Granted && !isFinished()) {
			synchronized (this) {
				this.claimedAttemptId = Optional.of(attemptId);
			}
			this.dispatcher.send(this, attemptId, server);
			return;
		}
		this.dispatcher.release(server);
		if (decision instanceof ClaimDecision.Granted) {
			// The caller is gone and nothing was sent.
			this.dispatcher.claims().settle(this.request, attemptId, ClaimOutcome.NOT_RUN);
			return;
		}
		if (decision instanceof ClaimDecision.Free && this.claimTries < MAX_CLAIM_TRIES) {
			this.dispatcher.claims().resolve(this.request, this::onClaimResolved);
			return;
		}
		onClaimRefused((decision instanceof ClaimDecision.Free)
				? new ClaimDecision.Refused(RefusalReason.CALL_IN_PROGRESS) : decision);
	}

	synchronized void onAttemptCreated(Attempt created) {
		this.attempt = created;
		this.attempts++;
		this.status = 0;
		this.held = ByteString.EMPTY;
	}

	private synchronized int ownCrashes() {
		return this.ownCrashes;
	}

	@Override
	public synchronized void onHead(int answerStatus, List<AnswerHeader> answerHeaders) {
		this.status = answerStatus;
		this.headers = answerHeaders;
	}

	@Override
	public void onChunk(ByteString data) {
		Attempt current;
		ByteString ready;
		boolean begins;
		synchronized (this) {
			current = this.attempt;
			if (this.finished || current == null) {
				return;
			}
			begins = !this.committed;
			ready = this.committed ? data : this.held.concat(data);
			boolean stream = this.request.tokenStream() && this.status == HTTP_OK;
			if (!this.committed && !stream && ready.size() <= MAX_HELD_ANSWER_BYTES) {
				this.held = ready;
				current.addCredit(data.size());
				return;
			}
			this.committed = true;
			this.held = ByteString.EMPTY;
		}
		if (begins) {
			this.sink.begin(this.status, this.headers);
		}
		// What was held has had its credit back.
		int credit = data.size();
		this.sink.write(ready, () -> current.addCredit(credit));
	}

	@Override
	public void onEnded(AttemptOutcome outcome, long promptTokens, long outputTokens) {
		settleClaim(outcome);
		if (outcome instanceof AttemptOutcome.Answered) {
			onAnswered(promptTokens, outputTokens);
			return;
		}
		RequestProgress progress;
		synchronized (this) {
			this.mayHaveRun |= outcome instanceof AttemptOutcome.Unknown;
			this.ownCrashes += isCrash(outcome) ? 1 : 0;
			if (this.attempt != null) {
				this.excludedServers.add(this.attempt.server().name());
			}
			if (this.finished) {
				return;
			}
			if (this.committed) {
				countUsage(promptTokens, outputTokens);
			}
			progress = new RequestProgress(this.request.repeatable(), this.mayHaveRun, this.committed, this.attempts,
					remainingMs(), this.ownCrashes > 0);
		}
		follow(this.dispatcher.decide(this, outcome, progress), outcome);
	}

	private static boolean isCrash(AttemptOutcome outcome) {
		return outcome instanceof AttemptOutcome.Unknown unknown && unknown.reason() == AttemptFailure.SERVER_CRASHED;
	}

	private void follow(RetryDecision decision, AttemptOutcome outcome) {
		if (decision instanceof RetryDecision.GiveUp giveUp) {
			refuse(giveUp.reason(), "");
			return;
		}
		AttemptFailure failure = failureOf(outcome);
		this.dispatcher.meters().retried(this.request.service().name(), failure);
		LOGGER.info("Request {} is tried again: {}", StructuredArguments.value("request_id", this.request.requestId()),
				StructuredArguments.value("reason", failure.label()));
		this.dispatcher.after(delayBefore(decision), this::begin);
	}

	private synchronized long delayBefore(RetryDecision decision) {
		if (decision instanceof RetryDecision.Requeue) {
			this.attempts--;
			this.excludedServers.clear();
			return REQUEUE_DELAY_MS;
		}
		return RETRY_DELAY_MS << Math.max(0, this.attempts - 1);
	}

	private static AttemptFailure failureOf(AttemptOutcome outcome) {
		if (outcome instanceof AttemptOutcome.NotRun notRun) {
			return notRun.reason();
		}
		return ((AttemptOutcome.Unknown) outcome).reason();
	}

	private void settleClaim(AttemptOutcome outcome) {
		Optional<String> attemptId;
		synchronized (this) {
			attemptId = this.claimedAttemptId;
			this.claimedAttemptId = Optional.empty();
		}
		if (attemptId.isEmpty()) {
			return;
		}
		if (outcome instanceof AttemptOutcome.Answered) {
			synchronized (this) {
				this.dispatcher.claims()
					.settleAnswered(this.request, attemptId.get(), this.status, this.headers, this.held,
							!this.committed);
			}
			return;
		}
		if (outcome instanceof AttemptOutcome.NotRun) {
			this.dispatcher.claims().settle(this.request, attemptId.get(), ClaimOutcome.NOT_RUN);
		}
		// An unknown outcome stays open: whoever asks next asks the sidecar.
	}

	private void onAnswered(long promptTokens, long outputTokens) {
		boolean whole;
		if (isSuspect()) {
			this.dispatcher.suspects().clear(this.request.fingerprint());
		}
		synchronized (this) {
			countUsage(promptTokens, outputTokens);
			if (this.finished) {
				return;
			}
			this.finished = true;
			whole = !this.committed;
		}
		if (whole) {
			this.sink.answer(this.status, this.headers, this.held);
		}
		else {
			this.sink.end();
		}
		count("answered");
		this.dispatcher.onFinished(this);
	}

	private void countUsage(long promptTokens, long outputTokens) {
		if (!this.request.workspaceName().isEmpty()) {
			this.dispatcher.usage()
				.add(new UsageLine(this.request.workspaceName(), this.request.service().name(), 1, promptTokens,
						outputTokens));
		}
	}

	private void count(String outcome) {
		this.dispatcher.meters()
			.counter("anvilusher.requests", "service", this.request.service().name(), "outcome", outcome)
			.increment();
	}

	/**
	 * Ends the request without a whole answer.
	 * @param reason why
	 * @param detail what else the caller should know; may be empty
	 */
	void refuse(RefusalReason reason, String detail) {
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
		}
		this.sink.refuse(reason, detail);
		count("refused");
		this.dispatcher.meters().refused(this.request.service().name(), reason);
		LOGGER.info("Request {} of workspace {} on service {} refused: {}",
				StructuredArguments.value("request_id", this.request.requestId()),
				StructuredArguments.value("workspace", this.request.workspaceName()),
				StructuredArguments.value("service", this.request.service().name()),
				StructuredArguments.value("reason", reason.code()));
		this.dispatcher.onFinished(this);
	}

	void onQueueTimeout(boolean serversKnown) {
		boolean ran;
		synchronized (this) {
			ran = this.mayHaveRun;
		}
		if (ran) {
			refuse(RefusalReason.SERVER_LOST, "");
			return;
		}
		refuse(serversKnown ? RefusalReason.QUEUE_TIMEOUT : RefusalReason.NO_SERVER, "");
	}

	void onKeyWithdrawn() {
		refuse(RefusalReason.KEY_WITHDRAWN, "");
		stopRunningAttempt();
	}

	void onCallerGone() {
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
		}
		count("caller_gone");
		this.dispatcher.onFinished(this);
		stopRunningAttempt();
	}

	/**
	 * Breaks off what nobody waits for. A call that may not be repeated runs on, so that
	 * its outcome becomes known.
	 */
	private void stopRunningAttempt() {
		Attempt running;
		synchronized (this) {
			running = this.attempt;
		}
		if (running != null && this.request.repeatable()) {
			running.abandon(AttemptFailure.CANCELLED);
		}
	}

}
