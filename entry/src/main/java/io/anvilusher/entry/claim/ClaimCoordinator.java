package io.anvilusher.entry.claim;

import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.control.RecordDecision;
import io.anvilusher.entry.dispatch.CallerRequest;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.dispatch.ServerDirectory.ConnectedServer;
import io.anvilusher.logic.config.TextPatches;
import io.anvilusher.model.config.LogOutagePolicy;
import io.anvilusher.model.fact.IdempotencyClaimed;
import io.anvilusher.model.fact.IdempotencySettled;
import io.anvilusher.model.request.ClaimOutcome;
import io.anvilusher.model.request.ClaimResult;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.IdempotencyClaim;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.protocol.generated.PeerMessages.AttemptQuery;
import io.anvilusher.protocol.generated.PeerMessages.AttemptVerdict;
import io.anvilusher.protocol.generated.PeerMessages.Frame;

/**
 * Claims non-repeatable requests in the log before they are sent. A claim names the one
 * attempt, server and sidecar incarnation that may run the request. While the outcome of
 * a claim is unknown, that sidecar is queried; if it has not started the attempt, it
 * seals it, so that the attempt can never start, before another claim can follow.
 */
public final class ClaimCoordinator {

	private static final long APPEND_TIMEOUT_MS = 2000;

	private static final long SETTLE_TIMEOUT_MS = 60_000;

	private static final long QUERY_TIMEOUT_MS = 1000;

	/** Largest response body that is stored in the log for replay. */
	private static final int MAX_STORED_BODY_BYTES = 4096;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final ServerDirectory directory;

	private final Map<String, CompletableFuture<AttemptVerdict>> queries = new ConcurrentHashMap<>();

	/**
	 * Creates a coordinator.
	 * @param follower the control state
	 * @param appender appends claims and their results
	 * @param directory connections to sidecars
	 */
	public ClaimCoordinator(ControlFollower follower, RecordAppender appender, ServerDirectory directory) {
		this.follower = follower;
		this.appender = appender;
		this.directory = directory;
	}

	/**
	 * Returns the key of a request's claim in the control state.
	 * @param request a request with an idempotency key
	 * @return hash of workspace, service and idempotency key
	 */
	static String claimKey(CallerRequest request) {
		return TextPatches.digest(
				request.workspaceName() + "\n" + request.service().name() + "\n" + request.idempotencyKey().orElse(""));
	}

	/**
	 * Determines whether a request can be claimed, already has a response or must be
	 * refused.
	 * @param request a request with an idempotency key
	 * @param callback receives the decision
	 */
	public void resolve(CallerRequest request, Consumer<ClaimDecision> callback) {
		Optional<IdempotencyClaim> existing = this.follower.state().claims().find(claimKey(request));
		if (existing.isEmpty()) {
			callback.accept(new ClaimDecision.Free(0));
			return;
		}
		IdempotencyClaim claim = existing.get();
		if (!claim.fingerprint().equals(request.fingerprint())) {
			callback.accept(new ClaimDecision.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
			return;
		}
		if (claim.result().isPresent()) {
			callback.accept(decisionFor(claim, claim.result().get()));
			return;
		}
		resolveOpen(request, claim, callback);
	}

	private static ClaimDecision decisionFor(IdempotencyClaim claim, ClaimResult result) {
		return switch (result.outcome()) {
			case NOT_RUN -> new ClaimDecision.Free(claim.offset());
			case UNKNOWN -> new ClaimDecision.Refused(RefusalReason.CALL_OUTCOME_LOST);
			case ANSWERED -> result.bodyKept()
					? new ClaimDecision.Replay(result.status(), result.headers(),
							ByteString.copyFrom(Base64.getDecoder().decode(result.body())))
					: new ClaimDecision.Refused(RefusalReason.CALL_ALREADY_ANSWERED);
		};
	}

	private void resolveOpen(CallerRequest request, IdempotencyClaim claim, Consumer<ClaimDecision> callback) {
		Optional<ConnectedServer> server = this.directory.find(claim.server());
		if (server.isEmpty()) {
			callback.accept(new ClaimDecision.Refused(RefusalReason.CALL_IN_PROGRESS));
			return;
		}
		if (!server.get().incarnation().equals(claim.sidecarIncarnation())) {
			// The only process that could report whether the request ran no longer
			// exists.
			settle(claim, ClaimResult.withoutResponse(ClaimOutcome.UNKNOWN))
				.thenAccept((decision) -> callback.accept(new ClaimDecision.Refused(RefusalReason.CALL_OUTCOME_LOST)));
			return;
		}
		queryAttempt(server.get(), claim).thenAccept((verdict) -> onVerdict(request, claim, verdict, callback));
	}

	private CompletableFuture<AttemptVerdict> queryAttempt(ConnectedServer server, IdempotencyClaim claim) {
		CompletableFuture<AttemptVerdict> reply = this.queries.computeIfAbsent(claim.attemptId(),
				(id) -> new CompletableFuture<>());
		server.connection()
			.send(Frame.newBuilder()
				.setAttemptQuery(AttemptQuery.newBuilder()
					.setAttemptId(claim.attemptId())
					.setSidecarIncarnation(claim.sidecarIncarnation())
					.setSeal(true))
				.build());
		// Without a reply the attempt has to be treated as running.
		this.follower.thread()
			.after(QUERY_TIMEOUT_MS,
					() -> reply.complete(AttemptVerdict.newBuilder()
						.setAttemptId(claim.attemptId())
						.setState(AttemptVerdict.State.RUNNING)
						.build()));
		reply.whenComplete((verdict, failure) -> this.queries.remove(claim.attemptId()));
		return reply;
	}

	/**
	 * Completes the query that a sidecar has replied to.
	 * @param verdict the state of the attempt; ignored if no query waits for it
	 */
	public void onVerdict(AttemptVerdict verdict) {
		CompletableFuture<AttemptVerdict> query = this.queries.get(verdict.getAttemptId());
		if (query != null) {
			query.complete(verdict);
		}
	}

	private void onVerdict(CallerRequest request, IdempotencyClaim claim, AttemptVerdict verdict,
			Consumer<ClaimDecision> callback) {
		switch (verdict.getState()) {
			case NEVER_STARTED -> settle(claim, ClaimResult.withoutResponse(ClaimOutcome.NOT_RUN))
				.thenAccept((decision) -> callback.accept(afterNotRun(claim, decision)));
			case ANSWERED -> {
				List<HttpHeader> headers = verdict.getHeadersList()
					.stream()
					.map((header) -> new HttpHeader(header.getName(), header.getValue()))
					.toList();
				settle(claim, responseResult(verdict.getStatus(), headers, verdict.getBody(), verdict.getBodyKept()));
				callback.accept(verdict.getBodyKept()
						? new ClaimDecision.Replay(verdict.getStatus(), headers, verdict.getBody())
						: new ClaimDecision.Refused(RefusalReason.CALL_ALREADY_ANSWERED));
			}
			case FAILED -> settle(claim, ClaimResult.withoutResponse(ClaimOutcome.UNKNOWN))
				.thenAccept((decision) -> callback.accept(new ClaimDecision.Refused(RefusalReason.CALL_OUTCOME_LOST)));
			default -> callback.accept(new ClaimDecision.Refused(RefusalReason.CALL_IN_PROGRESS));
		}
	}

	private static ClaimDecision afterNotRun(IdempotencyClaim claim, RecordDecision decision) {
		return (decision instanceof RecordDecision.Undecided)
				? new ClaimDecision.Refused(RefusalReason.CLAIM_UNAVAILABLE) : new ClaimDecision.Free(claim.offset());
	}

	/**
	 * Claims a request for one attempt.
	 * @param request a request with an idempotency key
	 * @param attemptId id of the attempt
	 * @param server name of the server that the attempt is sent to
	 * @param sidecarIncarnation incarnation of that server's sidecar
	 * @param baseOffset offset of the previous claim, whose attempt is proven not to have
	 * run; 0 if there was none
	 * @param callback receives the decision; {@link ClaimDecision.Free} if another claim
	 * was accepted first, which then has to be resolved
	 */
	public void claim(CallerRequest request, String attemptId, String server, String sidecarIncarnation,
			long baseOffset, Consumer<ClaimDecision> callback) {
		IdempotencyClaimed claim = new IdempotencyClaimed(claimKey(request), request.fingerprint(), attemptId, server,
				sidecarIncarnation, baseOffset);
		this.appender.append(claim, APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> callback.accept(toDecision(request, decision)));
	}

	private static ClaimDecision toDecision(CallerRequest request, RecordDecision decision) {
		if (decision instanceof RecordDecision.Undecided) {
			return (request.service().logOutagePolicy() == LogOutagePolicy.RUN_UNCLAIMED) ? new ClaimDecision.Granted()
					: new ClaimDecision.Refused(RefusalReason.CLAIM_UNAVAILABLE);
		}
		return decision.isAccepted() ? new ClaimDecision.Granted() : new ClaimDecision.Free(0);
	}

	/**
	 * Records that the attempt of a claimed request ended without a response.
	 * @param request the request
	 * @param attemptId id of the attempt
	 * @param outcome the outcome of the attempt
	 */
	public void settle(CallerRequest request, String attemptId, ClaimOutcome outcome) {
		this.appender.append(new IdempotencySettled(claimKey(request), attemptId, ClaimResult.withoutResponse(outcome)),
				SETTLE_TIMEOUT_MS);
	}

	/**
	 * Records the response to a claimed request.
	 * @param request the request
	 * @param attemptId id of the attempt
	 * @param status the HTTP status
	 * @param headers the response headers
	 * @param body the response body; ignored unless it is complete
	 * @param complete whether {@code body} is the complete response body
	 */
	public void settleWithResponse(CallerRequest request, String attemptId, int status, List<HttpHeader> headers,
			ByteString body, boolean complete) {
		this.appender.append(
				new IdempotencySettled(claimKey(request), attemptId, responseResult(status, headers, body, complete)),
				SETTLE_TIMEOUT_MS);
	}

	private CompletableFuture<RecordDecision> settle(IdempotencyClaim claim, ClaimResult result) {
		return this.appender.append(new IdempotencySettled(claim.claimKey(), claim.attemptId(), result),
				APPEND_TIMEOUT_MS);
	}

	private static ClaimResult responseResult(int status, List<HttpHeader> headers, ByteString body, boolean complete) {
		boolean stored = complete && body.size() <= MAX_STORED_BODY_BYTES;
		return new ClaimResult(ClaimOutcome.ANSWERED, status, headers,
				stored ? Base64.getEncoder().encodeToString(body.toByteArray()) : "", stored);
	}

}
