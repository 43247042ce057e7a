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
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.ClaimOutcome;
import io.anvilusher.model.request.ClaimResult;
import io.anvilusher.model.request.IdempotencyClaim;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.protocol.generated.PeerMessages.AttemptQuery;
import io.anvilusher.protocol.generated.PeerMessages.AttemptVerdict;
import io.anvilusher.protocol.generated.PeerMessages.Frame;

/**
 * Claims calls that may not be repeated, in the log and before they are sent. The claim
 * names the one attempt, server and sidecar incarnation that may run the call; when its
 * outcome is open, that sidecar is asked, and an attempt that it has not started is
 * sealed there for good before another claim may follow.
 */
public final class ClaimDesk {

	private static final long APPEND_TIMEOUT_MS = 2000;

	private static final long SETTLE_TIMEOUT_MS = 60_000;

	private static final long QUERY_TIMEOUT_MS = 1000;

	/** Largest answer body that is kept in the log. */
	private static final int MAX_KEPT_BODY_BYTES = 4096;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final ServerDirectory directory;

	private final Map<String, CompletableFuture<AttemptVerdict>> queries = new ConcurrentHashMap<>();

	/**
	 * Creates a desk.
	 * @param follower the control state
	 * @param appender appends claims
	 * @param directory connections to sidecars
	 */
	public ClaimDesk(ControlFollower follower, RecordAppender appender, ServerDirectory directory) {
		this.follower = follower;
		this.appender = appender;
		this.directory = directory;
	}

	/**
	 * Names the claim of a request.
	 * @param request the request, which has an idempotency key
	 * @return hash of workspace, service and idempotency key
	 */
	static String claimKey(CallerRequest request) {
		return TextPatches.digest(
				request.workspaceName() + "\n" + request.service().name() + "\n" + request.idempotencyKey().orElse(""));
	}

	/**
	 * Finds out whether a call may be claimed.
	 * @param request the request
	 * @param then receives the decision
	 */
	public void resolve(CallerRequest request, Consumer<ClaimDecision> then) {
		Optional<IdempotencyClaim> known = this.follower.state().claims().find(claimKey(request));
		if (known.isEmpty()) {
			then.accept(new ClaimDecision.Free(0));
			return;
		}
		IdempotencyClaim claim = known.get();
		if (!claim.fingerprint().equals(request.fingerprint())) {
			then.accept(new ClaimDecision.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
			return;
		}
		if (claim.result().isPresent()) {
			then.accept(ofResult(claim, claim.result().get()));
			return;
		}
		resolveOpen(request, claim, then);
	}

	private static ClaimDecision ofResult(IdempotencyClaim claim, ClaimResult result) {
		return switch (result.outcome()) {
			case NOT_RUN -> new ClaimDecision.Free(claim.offset());
			case UNKNOWN -> new ClaimDecision.Refused(RefusalReason.CALL_OUTCOME_LOST);
			case ANSWERED -> result.bodyKept()
					? new ClaimDecision.Replay(result.status(), result.headers(),
							ByteString.copyFrom(Base64.getDecoder().decode(result.body())))
					: new ClaimDecision.Refused(RefusalReason.CALL_ALREADY_ANSWERED);
		};
	}

	private void resolveOpen(CallerRequest request, IdempotencyClaim claim, Consumer<ClaimDecision> then) {
		Optional<ConnectedServer> server = this.directory.find(claim.server());
		if (server.isEmpty()) {
			then.accept(new ClaimDecision.Refused(RefusalReason.CALL_IN_PROGRESS));
			return;
		}
		if (!server.get().incarnation().equals(claim.sidecarIncarnation())) {
			// The only process that knew whether the call ran is gone.
			settle(claim, ClaimResult.withoutAnswer(ClaimOutcome.UNKNOWN))
				.thenAccept((decision) -> then.accept(new ClaimDecision.Refused(RefusalReason.CALL_OUTCOME_LOST)));
			return;
		}
		ask(server.get(), claim).thenAccept((verdict) -> onVerdict(request, claim, verdict, then));
	}

	private CompletableFuture<AttemptVerdict> ask(ConnectedServer server, IdempotencyClaim claim) {
		CompletableFuture<AttemptVerdict> answer = this.queries.computeIfAbsent(claim.attemptId(),
				(id) -> new CompletableFuture<>());
		server.connection()
			.send(Frame.newBuilder()
				.setAttemptQuery(AttemptQuery.newBuilder()
					.setAttemptId(claim.attemptId())
					.setSidecarIncarnation(claim.sidecarIncarnation())
					.setSeal(true))
				.build());
		this.follower.thread()
			.after(QUERY_TIMEOUT_MS,
					() -> answer.complete(AttemptVerdict.newBuilder()
						.setAttemptId(claim.attemptId())
						.setState(AttemptVerdict.State.RUNNING)
						.build()));
		answer.whenComplete((verdict, failure) -> this.queries.remove(claim.attemptId()));
		return answer;
	}

	/**
	 * Takes in a sidecar's word on an attempt.
	 * @param verdict the word
	 */
	public void onVerdict(AttemptVerdict verdict) {
		CompletableFuture<AttemptVerdict> waiting = this.queries.get(verdict.getAttemptId());
		if (waiting != null) {
			waiting.complete(verdict);
		}
	}

	private void onVerdict(CallerRequest request, IdempotencyClaim claim, AttemptVerdict verdict,
			Consumer<ClaimDecision> then) {
		switch (verdict.getState()) {
			case NEVER_STARTED -> settle(claim, ClaimResult.withoutAnswer(ClaimOutcome.NOT_RUN))
				.thenAccept((decision) -> then.accept(afterNotRun(claim, decision)));
			case ANSWERED -> {
				List<AnswerHeader> headers = verdict.getHeadersList()
					.stream()
					.map((header) -> new AnswerHeader(header.getName(), header.getValue()))
					.toList();
				settle(claim, answered(verdict.getStatus(), headers, verdict.getBody(), verdict.getBodyKept()));
				then.accept(verdict.getBodyKept()
						? new ClaimDecision.Replay(verdict.getStatus(), headers, verdict.getBody())
						: new ClaimDecision.Refused(RefusalReason.CALL_ALREADY_ANSWERED));
			}
			case FAILED -> settle(claim, ClaimResult.withoutAnswer(ClaimOutcome.UNKNOWN))
				.thenAccept((decision) -> then.accept(new ClaimDecision.Refused(RefusalReason.CALL_OUTCOME_LOST)));
			default -> then.accept(new ClaimDecision.Refused(RefusalReason.CALL_IN_PROGRESS));
		}
	}

	private static ClaimDecision afterNotRun(IdempotencyClaim claim, RecordDecision decision) {
		return (decision instanceof RecordDecision.Undecided)
				? new ClaimDecision.Refused(RefusalReason.CLAIM_UNAVAILABLE) : new ClaimDecision.Free(claim.offset());
	}

	/**
	 * Claims a call for one attempt.
	 * @param request the request
	 * @param attemptId the attempt
	 * @param server the server that it goes to
	 * @param sidecarIncarnation incarnation of that server's sidecar
	 * @param baseOffset offset of the claim that was proved not run; 0 when there was
	 * none
	 * @param then receives the decision; {@link ClaimDecision.Free} when another claim
	 * came first and is to be resolved
	 */
	public void claim(CallerRequest request, String attemptId, String server, String sidecarIncarnation,
			long baseOffset, Consumer<ClaimDecision> then) {
		IdempotencyClaimed claim = new IdempotencyClaimed(claimKey(request), request.fingerprint(), attemptId, server,
				sidecarIncarnation, baseOffset);
		this.appender.append(claim, APPEND_TIMEOUT_MS).thenAccept((decision) -> then.accept(decide(request, decision)));
	}

	private static ClaimDecision decide(CallerRequest request, RecordDecision decision) {
		if (decision instanceof RecordDecision.Undecided) {
			return (request.service().whenLogIsOut() == LogOutagePolicy.RUN_UNCLAIMED) ? new ClaimDecision.Granted()
					: new ClaimDecision.Refused(RefusalReason.CLAIM_UNAVAILABLE);
		}
		return decision.isAccepted() ? new ClaimDecision.Granted() : new ClaimDecision.Free(0);
	}

	/**
	 * Notes that a claimed call ended without an answer.
	 * @param request the request
	 * @param attemptId the attempt
	 * @param outcome how it ended
	 */
	public void settle(CallerRequest request, String attemptId, ClaimOutcome outcome) {
		this.appender.append(new IdempotencySettled(claimKey(request), attemptId, ClaimResult.withoutAnswer(outcome)),
				SETTLE_TIMEOUT_MS);
	}

	/**
	 * Notes the answer to a claimed call.
	 * @param request the request
	 * @param attemptId the attempt
	 * @param status the HTTP status
	 * @param headers headers
	 * @param body body
	 * @param whole whether the body is at hand
	 */
	public void settleAnswered(CallerRequest request, String attemptId, int status, List<AnswerHeader> headers,
			ByteString body, boolean whole) {
		this.appender.append(
				new IdempotencySettled(claimKey(request), attemptId, answered(status, headers, body, whole)),
				SETTLE_TIMEOUT_MS);
	}

	private CompletableFuture<RecordDecision> settle(IdempotencyClaim claim, ClaimResult result) {
		return this.appender.append(new IdempotencySettled(claim.claimKey(), claim.attemptId(), result),
				APPEND_TIMEOUT_MS);
	}

	private static ClaimResult answered(int status, List<AnswerHeader> headers, ByteString body, boolean whole) {
		boolean kept = whole && body.size() <= MAX_KEPT_BODY_BYTES;
		return new ClaimResult(ClaimOutcome.ANSWERED, status, headers,
				kept ? Base64.getEncoder().encodeToString(body.toByteArray()) : "", kept);
	}

}
