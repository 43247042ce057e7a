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
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.ClaimOutcome;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.model.usage.UsageLine;

/**
 * A request that is being dispatched: starts its attempts at backend servers and passes
 * the response on to the caller. Buffers the response until it is complete, exceeds the
 * buffer limit, or is a successful token stream whose first chunk has arrived; until then
 * another attempt can replace the current one.
 */
final class DispatchedRequest implements AttemptListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(DispatchedRequest.class);

	private static final int MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;

	private static final int HTTP_OK = 200;

	private static final int MAX_CLAIM_TRIES = 3;

	/**
	 * Number of attempts ended by a server crash from which on the request is refused.
	 */
	private static final int MAX_CRASHED_ATTEMPTS = 2;

	/** Delay before the first retry; doubles with each further retry. */
	private static final long BASE_RETRY_DELAY_MS = 10;

	/**
	 * Delay before a request is queued again because its server was full or did not start
	 * it in time; the server's next load report can arrive in the meantime.
	 */
	private static final long REQUEUE_DELAY_MS = 25;

	private final CallerRequest request;

	private final ResponseSink sink;

	private final Dispatcher dispatcher;

	private final Set<String> excludedServers = new HashSet<>();

	private @Nullable Attempt attempt;

	private Optional<String> claimedAttemptId = Optional.empty();

	private long claimBaseOffset;

	private int claimTries;

	private int attempts;

	private int crashedAttempts;

	private boolean mayHaveRun;

	private boolean committed;

	private boolean finished;

	private int status;

	private List<HttpHeader> headers = List.of();

	private ByteString bufferedBody = ByteString.EMPTY;

	DispatchedRequest(CallerRequest request, ResponseSink sink, Dispatcher dispatcher) {
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
	 * Returns the queue timeout. Urgent requests time out at their target time to first
	 * token, because a caller that waits is better served by an early refusal; other
	 * requests time out at half their deadline.
	 * @return the timeout in milliseconds, counted from the receipt of the request
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
	 * Returns whether the request is suspected of crashing servers and therefore has to
	 * run alone on its server.
	 * @return whether the request is a suspect
	 */
	boolean isSuspect() {
		synchronized (this) {
			if (this.crashedAttempts > 0) {
				return true;
			}
		}
		return this.dispatcher.suspects().isSuspect(this.request.fingerprint());
	}

	/**
	 * Queues the request, first or again after a failed attempt, unless it has crashed
	 * too many servers or its idempotency key is already claimed.
	 */
	void dispatch() {
		if (this.dispatcher.suspects().hasReachedCrashLimit(this.request.fingerprint())
				|| crashedAttempts() >= MAX_CRASHED_ATTEMPTS) {
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
		this.sink.respond(replay.status(), replay.headers(), replay.body());
		count("replayed");
		this.dispatcher.onFinished(this);
	}

	/**
	 * Starts an attempt at the selected server, after claiming the request if it needs an
	 * idempotency claim.
	 * @param server the selected server, which already counts this attempt
	 */
	void startAttempt(BackendServer server) {
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
			// The request ended while the claim was appended; no attempt was sent.
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
		this.bufferedBody = ByteString.EMPTY;
	}

	private synchronized int crashedAttempts() {
		return this.crashedAttempts;
	}

	@Override
	public synchronized void onHead(int responseStatus, List<HttpHeader> responseHeaders) {
		this.status = responseStatus;
		this.headers = responseHeaders;
	}

	@Override
	public void onChunk(ByteString data) {
		Attempt current;
		ByteString pending;
		boolean isFirstPart;
		synchronized (this) {
			current = this.attempt;
			if (this.finished || current == null) {
				return;
			}
			isFirstPart = !this.committed;
			pending = this.committed ? data : this.bufferedBody.concat(data);
			boolean stream = this.request.tokenStream() && this.status == HTTP_OK;
			if (!this.committed && !stream && pending.size() <= MAX_BUFFERED_RESPONSE_BYTES) {
				this.bufferedBody = pending;
				current.addCredit(data.size());
				return;
			}
			this.committed = true;
			this.bufferedBody = ByteString.EMPTY;
		}
		if (isFirstPart) {
			this.sink.begin(this.status, this.headers);
		}
		// Credit for buffered bytes was returned when they were buffered.
		int credit = data.size();
		this.sink.write(pending, () -> current.addCredit(credit));
	}

	@Override
	public void onEnded(AttemptOutcome outcome, long promptTokens, long outputTokens) {
		settleClaim(outcome);
		if (outcome instanceof AttemptOutcome.Completed) {
			onCompleted(promptTokens, outputTokens);
			return;
		}
		RequestProgress progress;
		synchronized (this) {
			this.mayHaveRun |= outcome instanceof AttemptOutcome.Unknown;
			this.crashedAttempts += isCrash(outcome) ? 1 : 0;
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
					remainingMs(), this.crashedAttempts > 0);
		}
		applyDecision(this.dispatcher.decide(this, outcome, progress), outcome);
	}

	private static boolean isCrash(AttemptOutcome outcome) {
		return outcome instanceof AttemptOutcome.Unknown unknown && unknown.reason() == AttemptFailure.SERVER_CRASHED;
	}

	private void applyDecision(RetryDecision decision, AttemptOutcome outcome) {
		if (decision instanceof RetryDecision.Refuse refusal) {
			refuse(refusal.reason(), "");
			return;
		}
		AttemptFailure failure = failureOf(outcome);
		this.dispatcher.meters().retried(this.request.service().name(), failure);
		LOGGER.info("Attempt of request {} failed; the request is sent again: {}",
				StructuredArguments.value("request_id", this.request.requestId()),
				StructuredArguments.value("reason", failure.label()));
		this.dispatcher.after(delayBeforeMs(decision), this::dispatch);
	}

	private synchronized long delayBeforeMs(RetryDecision decision) {
		if (decision instanceof RetryDecision.Requeue) {
			this.attempts--;
			this.excludedServers.clear();
			return REQUEUE_DELAY_MS;
		}
		return BASE_RETRY_DELAY_MS << Math.max(0, this.attempts - 1);
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
		if (outcome instanceof AttemptOutcome.Completed) {
			synchronized (this) {
				this.dispatcher.claims()
					.settleWithResponse(this.request, attemptId.get(), this.status, this.headers, this.bufferedBody,
							!this.committed);
			}
			return;
		}
		if (outcome instanceof AttemptOutcome.NotRun) {
			this.dispatcher.claims().settle(this.request, attemptId.get(), ClaimOutcome.NOT_RUN);
		}
		// An unknown outcome leaves the claim open: the next request with the same
		// idempotency key queries the sidecar.
	}

	private void onCompleted(long promptTokens, long outputTokens) {
		boolean complete;
		if (isSuspect()) {
			this.dispatcher.suspects().clear(this.request.fingerprint());
		}
		synchronized (this) {
			countUsage(promptTokens, outputTokens);
			if (this.finished) {
				return;
			}
			this.finished = true;
			complete = !this.committed;
		}
		if (complete) {
			this.sink.respond(this.status, this.headers, this.bufferedBody);
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
	 * Ends the request with an error response, or aborts a response that has begun. A
	 * reason that tells the caller "not run" is replaced if an attempt may have run.
	 * @param proposed the reason to be reported to the caller
	 * @param detail further text for the caller; may be empty
	 */
	void refuse(RefusalReason proposed, String detail) {
		RefusalReason reason;
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			reason = (proposed.notRun() && this.mayHaveRun) ? RefusalReason.SERVER_LOST : proposed;
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
		refuse(serversKnown ? RefusalReason.QUEUE_TIMEOUT : RefusalReason.NO_SERVER, "");
	}

	void onKeyWithdrawn() {
		refuse(RefusalReason.KEY_WITHDRAWN, "");
		cancelRepeatableAttempt();
	}

	void onCallerDisconnected() {
		synchronized (this) {
			if (this.finished) {
				return;
			}
			this.finished = true;
		}
		count("caller_gone");
		this.dispatcher.onFinished(this);
		cancelRepeatableAttempt();
	}

	/**
	 * Cancels the running attempt if the request is repeatable. A non-repeatable request
	 * runs on, so that its outcome becomes known and its claim can be settled.
	 */
	private void cancelRepeatableAttempt() {
		Attempt running;
		synchronized (this) {
			running = this.attempt;
		}
		if (running != null && this.request.repeatable()) {
			running.abandon(AttemptFailure.CANCELLED);
		}
	}

}
