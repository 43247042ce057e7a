package io.anvilusher.entry.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.entry.claim.ClaimDesk;
import io.anvilusher.logic.admission.WorkspaceShare;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.logic.retry.RequestProgress;
import io.anvilusher.logic.retry.RetryDecision;
import io.anvilusher.logic.retry.RetryPolicy;
import io.anvilusher.model.key.WorkspaceKey;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.RefusalReason;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Header;

/**
 * Queues requests, sends their attempts to backend servers and follows them to their end.
 */
public final class Dispatcher {

	/** Longest time from sending an attempt to its start at the sidecar. */
	private static final long START_WINDOW_MS = 500;

	/**
	 * Time beyond the start window after which an attempt that was not accepted is lost.
	 */
	private static final long ACCEPT_GRACE_MS = 500;

	private static final long SUSPECT_START_WINDOW_MS = 5000;

	/** Bytes of an answer that may be on their way to a slow reader. */
	private static final int CREDIT_BYTES = 128 * 1024;

	/** Longest time to the answer's head, as a multiple of the service's target. */
	private static final long HEAD_TARGET_MULTIPLE = 10;

	private static final long SWEEP_MS = 100;

	private static final long TIMER_TICK_MS = 25;

	private static final long MAX_HELD_BODY_BYTES = 64L * 1024 * 1024;

	private static final int MAX_QUEUED_PER_SERVICE = 4096;

	private final ServerDirectory directory;

	private final AttemptRegistry registry;

	private final ClaimDesk claims;

	private final SuspectBook suspects;

	private final ControlFollower follower;

	private final UsageMeter usage;

	private final Meters meters;

	private final MonotonicClock clock;

	private final RetryPolicy retryPolicy = new RetryPolicy();

	private final HashedWheelTimer timer = new HashedWheelTimer(TIMER_TICK_MS, TimeUnit.MILLISECONDS);

	private final Map<String, ServiceLane> lanes = new ConcurrentHashMap<>();

	private final Set<DispatchedCall> active = ConcurrentHashMap.newKeySet();

	private final AtomicLong heldBodyBytes = new AtomicLong();

	/**
	 * Creates a dispatcher.
	 * @param directory the backend servers
	 * @param registry the attempts under way
	 * @param claims claims calls that may not be repeated
	 * @param suspects requests that were running at crashes
	 * @param follower the control state
	 * @param usage counts work done for workspaces
	 * @param meters counts requests, refusals and retries
	 */
	public Dispatcher(ServerDirectory directory, AttemptRegistry registry, ClaimDesk claims, SuspectBook suspects,
			ControlFollower follower, UsageMeter usage, Meters meters) {
		this.directory = directory;
		this.registry = registry;
		this.claims = claims;
		this.suspects = suspects;
		this.follower = follower;
		this.usage = usage;
		this.meters = meters;
		this.clock = follower.clock();
		meters.gauge("anvilusher.requests.active", this.active, Set::size);
		follower.addListener(this::onState);
	}

	/**
	 * Starts to time out waiting requests.
	 */
	public void start() {
		this.timer.newTimeout((timeout) -> {
			this.lanes.values().forEach(this::sweep);
			start();
		}, SWEEP_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops the timers.
	 */
	public void stop() {
		this.timer.stop();
	}

	/**
	 * Returns the number of requests that have not ended.
	 * @return the number
	 */
	public int activeRequests() {
		return this.active.size();
	}

	/**
	 * Takes in a request.
	 * @param request the request
	 * @param sink takes the answer to the caller
	 */
	public void submit(CallerRequest request, AnswerSink sink) {
		long held = this.heldBodyBytes.addAndGet(request.body().length);
		DispatchedCall call = new DispatchedCall(request, sink, this);
		this.active.add(call);
		sink.onCallerGone(call::onCallerGone);
		if (held > MAX_HELD_BODY_BYTES) {
			call.refuse(RefusalReason.SERVICE_SATURATED, "The entry holds as many request bodies as it may");
			return;
		}
		ServiceLane lane = lane(request.service().name());
		synchronized (lane) {
			lane.budget().onRequest();
		}
		call.begin();
	}

	private ServiceLane lane(String service) {
		return this.lanes.computeIfAbsent(service, ServiceLane::new);
	}

	/**
	 * Puts a call in the queue of its service and sends what can be sent.
	 * @param call the call
	 */
	void enqueue(DispatchedCall call) {
		ServiceLane lane = lane(call.request().service().name());
		boolean full;
		synchronized (lane) {
			full = lane.queue().size() >= MAX_QUEUED_PER_SERVICE;
			if (!full) {
				lane.queue().offer(share(call.request()), 1, call);
			}
		}
		if (full) {
			call.refuse(RefusalReason.SERVICE_SATURATED, "");
			return;
		}
		pump(lane);
	}

	private static WorkspaceShare share(CallerRequest request) {
		return request.workspace()
			.map((workspace) -> new WorkspaceShare(workspace.name(), workspace.weight(), workspace.urgent()))
			.orElseGet(() -> new WorkspaceShare("", 1, false));
	}

	/**
	 * Sends waiting calls of a service as far as servers are free.
	 * @param service the service
	 */
	public void onServersChanged(String service) {
		ServiceLane lane = this.lanes.get(service);
		if (lane != null) {
			pump(lane);
		}
	}

	private void pump(ServiceLane lane) {
		Optional<Runnable> launch;
		do {
			launch = nextLaunch(lane);
			launch.ifPresent(Runnable::run);
		}
		while (launch.isPresent());
	}

	private Optional<Runnable> nextLaunch(ServiceLane lane) {
		synchronized (lane) {
			Optional<DispatchedCall> waiting = lane.queue().peek();
			if (waiting.isEmpty()) {
				return Optional.empty();
			}
			DispatchedCall call = waiting.get();
			if (call.isFinished()) {
				lane.queue().poll();
				return Optional.of(() -> {
				});
			}
			ServerDirectory.Picked picked = call.isSuspect()
					? this.directory.pickForSuspect(lane.service(), call.excludedServers())
					: this.directory.pick(lane.service(), call.excludedServers(), call.request().prefixHash());
			return picked.server().map((server) -> {
				lane.queue().poll();
				return () -> call.launch(server);
			});
		}
	}

	private void sweep(ServiceLane lane) {
		List<DispatchedCall> expired = new ArrayList<>();
		long nowMs = this.clock.nowMs();
		synchronized (lane) {
			lane.queue().removeIf((call) -> {
				boolean over = call.isFinished() || nowMs - call.request().receivedAtMs() > call.queueLimitMs();
				if (over) {
					expired.add(call);
				}
				return over;
			});
		}
		boolean known = expired.isEmpty() || this.directory.hasServers(lane.service());
		expired.forEach((call) -> call.onQueueTimeout(known));
	}

	/**
	 * Sends an attempt.
	 * @param call the call
	 * @param attemptId id of the attempt
	 * @param server the server, on which the attempt is counted already
	 */
	void send(DispatchedCall call, String attemptId, BackendServer server) {
		CallerRequest request = call.request();
		long remainingMs = call.remainingMs();
		Attempt[] holder = new Attempt[1];
		Attempt attempt = new Attempt(attemptId, server, call, () -> {
			this.registry.remove(holder[0]);
			this.directory.onAttemptEnded(server);
		});
		holder[0] = attempt;
		this.registry.add(attempt);
		call.onAttemptCreated(attempt);
		AttemptStart.Builder start = AttemptStart.newBuilder()
			.setAttemptId(attemptId)
			.setRequestId(request.requestId())
			.setWorkspace(request.workspaceName())
			.setService(request.service().name())
			.setMethod(request.method())
			.setPath(request.path())
			.setBody(ByteString.copyFrom(request.body()))
			.setRepeatable(request.repeatable())
			.setSidecarIncarnation(server.incarnation())
			.setStartBeforeMs(this.directory.startBeforeMs(server, startWindowMs(call)))
			.setSuspect(call.isSuspect())
			.setDeadlineMs(Math.max(1, remainingMs))
			.setFingerprint(request.fingerprint())
			.setInitialCreditBytes(CREDIT_BYTES)
			.setTokenStream(request.tokenStream());
		request.headers()
			.forEach((header) -> start.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value())));
		boolean sent = server.connection().send(Frame.newBuilder().setAttemptStart(start).build());
		if (!sent) {
			attempt.end(new AttemptOutcome.NotRun(AttemptFailure.NO_LINK), 0, 0);
			return;
		}
		watch(attempt, request, startWindowMs(call), remainingMs);
	}

	// A suspect waits at its server until the attempts before it have ended.
	private static long startWindowMs(DispatchedCall call) {
		return call.isSuspect() ? SUSPECT_START_WINDOW_MS : START_WINDOW_MS;
	}

	private void watch(Attempt attempt, CallerRequest request, long startWindowMs, long remainingMs) {
		attempt.watchedBy(after(startWindowMs + ACCEPT_GRACE_MS, () -> {
			if (attempt.isEnded() || attempt.isAccepted()) {
				return;
			}
			if (request.repeatable()) {
				attempt.abandon(AttemptFailure.TIMED_OUT);
			}
			else {
				// The sidecar's answer tells whether the call ran.
				attempt.sendCancel();
			}
		}));
		if (request.repeatable()) {
			attempt.watchedBy(after(headLimitMs(request, remainingMs), () -> {
				if (!attempt.hasHead()) {
					attempt.abandon(AttemptFailure.TIMED_OUT);
				}
			}));
		}
		attempt.watchedBy(after(remainingMs, () -> attempt.abandon(AttemptFailure.TIMED_OUT)));
	}

	private static long headLimitMs(CallerRequest request, long remainingMs) {
		long half = remainingMs / 2;
		return request.tokenStream() ? Math.min(half, HEAD_TARGET_MULTIPLE * request.service().targets().firstTokenMs())
				: half;
	}

	Timeout after(long delayMs, Runnable task) {
		return this.timer.newTimeout((timeout) -> task.run(), Math.max(1, delayMs), TimeUnit.MILLISECONDS);
	}

	RetryDecision decide(DispatchedCall call, AttemptOutcome outcome, RequestProgress progress) {
		ServiceLane lane = lane(call.request().service().name());
		synchronized (lane) {
			return this.retryPolicy.decide(outcome, progress, lane.budget());
		}
	}

	void release(BackendServer server) {
		this.directory.onAttemptEnded(server);
	}

	void onFinished(DispatchedCall call) {
		if (this.active.remove(call)) {
			this.heldBodyBytes.addAndGet(-call.request().body().length);
		}
		onServersChanged(call.request().service().name());
	}

	private void onState(ControlState before, ControlState after) {
		if (before.keys().equals(after.keys())) {
			return;
		}
		this.active.stream()
			.filter((call) -> after.keys().find(call.request().keyId()).filter(WorkspaceKey::withdrawn).isPresent())
			.forEach(DispatchedCall::onKeyWithdrawn);
	}

	/**
	 * Ends the requests of a key that was withdrawn.
	 * @param keyId public part of the key
	 */
	public void onKeyWithdrawn(String keyId) {
		this.active.stream()
			.filter((call) -> call.request().keyId().equals(keyId))
			.forEach(DispatchedCall::onKeyWithdrawn);
	}

	static String newAttemptId() {
		return UUID.randomUUID().toString();
	}

	ClaimDesk claims() {
		return this.claims;
	}

	SuspectBook suspects() {
		return this.suspects;
	}

	UsageMeter usage() {
		return this.usage;
	}

	Meters meters() {
		return this.meters;
	}

	MonotonicClock clock() {
		return this.clock;
	}

	int creditBytes() {
		return CREDIT_BYTES;
	}

}
