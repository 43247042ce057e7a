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
import io.anvilusher.entry.claim.ClaimCoordinator;
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
 * Queues requests per service, sends their attempts to backend servers and enforces their
 * timeouts.
 */
public final class Dispatcher {

	/** Longest time from sending an attempt to its start at the sidecar. */
	private static final long START_WINDOW_MS = 500;

	/**
	 * Time beyond the start window after which an attempt that the sidecar has not
	 * accepted is abandoned, or cancelled if the request is not repeatable.
	 */
	private static final long ACCEPT_GRACE_MS = 500;

	private static final long SUSPECT_START_WINDOW_MS = 5000;

	/**
	 * Response bytes that a sidecar may send before the entry returns credit; bounds what
	 * is buffered for a slow caller.
	 */
	private static final int INITIAL_CREDIT_BYTES = 128 * 1024;

	/**
	 * Timeout for the response head of a token stream, as a multiple of the service's
	 * target time to first token.
	 */
	private static final long HEAD_TIMEOUT_TARGET_MULTIPLE = 10;

	private static final long QUEUE_SWEEP_INTERVAL_MS = 100;

	private static final long TIMER_TICK_MS = 25;

	/** Limit on the request bodies of all active requests together. */
	private static final long MAX_TOTAL_BODY_BYTES = 64L * 1024 * 1024;

	private static final int MAX_QUEUED_PER_SERVICE = 4096;

	private final ServerDirectory directory;

	private final AttemptRegistry registry;

	private final ClaimCoordinator claims;

	private final SuspectRegistry suspects;

	private final ControlFollower follower;

	private final UsageMeter usage;

	private final Meters meters;

	private final MonotonicClock clock;

	private final RetryPolicy retryPolicy = new RetryPolicy();

	private final HashedWheelTimer timer = new HashedWheelTimer(TIMER_TICK_MS, TimeUnit.MILLISECONDS);

	private final Map<String, ServiceQueue> serviceQueues = new ConcurrentHashMap<>();

	private final Set<DispatchedRequest> active = ConcurrentHashMap.newKeySet();

	private final AtomicLong totalBodyBytes = new AtomicLong();

	/**
	 * Creates a dispatcher.
	 * @param directory the backend servers
	 * @param registry the attempts in progress
	 * @param claims claims non-repeatable requests before they are sent
	 * @param suspects requests suspected of crashing servers
	 * @param follower the control state
	 * @param usage counts the usage of each workspace
	 * @param meters counts requests, refusals and retries
	 */
	public Dispatcher(ServerDirectory directory, AttemptRegistry registry, ClaimCoordinator claims,
			SuspectRegistry suspects, ControlFollower follower, UsageMeter usage, Meters meters) {
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
	 * Starts the periodic removal of queued requests that have timed out.
	 */
	public void start() {
		this.timer.newTimeout((timeout) -> {
			this.serviceQueues.values().forEach(this::expireQueued);
			start();
		}, QUEUE_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops all timers, including those of attempts in progress.
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
	 * Accepts a request. Refuses it at once if the bodies of all active requests exceed
	 * the memory limit.
	 * @param request the request
	 * @param sink receives the response or the refusal
	 */
	public void submit(CallerRequest request, ResponseSink sink) {
		long totalBytes = this.totalBodyBytes.addAndGet(request.body().length);
		DispatchedRequest dispatched = new DispatchedRequest(request, sink, this);
		this.active.add(dispatched);
		sink.onCallerDisconnected(dispatched::onCallerDisconnected);
		if (totalBytes > MAX_TOTAL_BODY_BYTES) {
			dispatched.refuse(RefusalReason.SERVICE_SATURATED, "The entry holds as many request bodies as it may");
			return;
		}
		ServiceQueue serviceQueue = serviceQueue(request.service().name());
		synchronized (serviceQueue) {
			serviceQueue.retryBudget().onRequest();
		}
		dispatched.dispatch();
	}

	private ServiceQueue serviceQueue(String service) {
		return this.serviceQueues.computeIfAbsent(service, ServiceQueue::new);
	}

	/**
	 * Adds a request to the queue of its service and sends the queued requests for which
	 * a server is free. Refuses the request if the queue is full.
	 * @param dispatched the request
	 */
	void enqueue(DispatchedRequest dispatched) {
		ServiceQueue serviceQueue = serviceQueue(dispatched.request().service().name());
		boolean full;
		synchronized (serviceQueue) {
			full = serviceQueue.requests().size() >= MAX_QUEUED_PER_SERVICE;
			if (!full) {
				serviceQueue.requests().offer(share(dispatched.request()), 1, dispatched);
			}
		}
		if (full) {
			dispatched.refuse(RefusalReason.SERVICE_SATURATED, "");
			return;
		}
		sendQueued(serviceQueue);
	}

	private static WorkspaceShare share(CallerRequest request) {
		return request.workspace()
			.map((workspace) -> new WorkspaceShare(workspace.name(), workspace.weight(), workspace.urgent()))
			.orElseGet(() -> new WorkspaceShare("", 1, false));
	}

	/**
	 * Sends queued requests of a service for which a server is free. Called when a server
	 * of the service has reported or a request has ended.
	 * @param service name of the service
	 */
	public void onServersChanged(String service) {
		ServiceQueue serviceQueue = this.serviceQueues.get(service);
		if (serviceQueue != null) {
			sendQueued(serviceQueue);
		}
	}

	private void sendQueued(ServiceQueue serviceQueue) {
		Optional<Runnable> next;
		do {
			next = takeNext(serviceQueue);
			next.ifPresent(Runnable::run);
		}
		while (next.isPresent());
	}

	/**
	 * Removes the first request from the queue if it has finished or a server is free for
	 * it. Requests behind it wait for it.
	 * @param serviceQueue the queue of a service
	 * @return the action that starts an attempt, which does nothing for a finished
	 * request; empty if no request was removed
	 */
	private Optional<Runnable> takeNext(ServiceQueue serviceQueue) {
		synchronized (serviceQueue) {
			Optional<DispatchedRequest> head = serviceQueue.requests().peek();
			if (head.isEmpty()) {
				return Optional.empty();
			}
			DispatchedRequest dispatched = head.get();
			if (dispatched.isFinished()) {
				serviceQueue.requests().poll();
				return Optional.of(() -> {
				});
			}
			ServerDirectory.Selection selection = dispatched.isSuspect()
					? this.directory.selectForSuspect(serviceQueue.service(), dispatched.excludedServers())
					: this.directory.select(serviceQueue.service(), dispatched.excludedServers(),
							dispatched.request().prefixHash());
			return selection.server().map((server) -> {
				serviceQueue.requests().poll();
				return () -> dispatched.startAttempt(server);
			});
		}
	}

	private void expireQueued(ServiceQueue serviceQueue) {
		List<DispatchedRequest> expired = new ArrayList<>();
		long nowMs = this.clock.nowMs();
		synchronized (serviceQueue) {
			serviceQueue.requests().removeIf((dispatched) -> {
				boolean timedOut = dispatched.isFinished()
						|| nowMs - dispatched.request().receivedAtMs() > dispatched.queueLimitMs();
				if (timedOut) {
					expired.add(dispatched);
				}
				return timedOut;
			});
		}
		boolean serversKnown = expired.isEmpty() || this.directory.hasServers(serviceQueue.service());
		expired.forEach((dispatched) -> dispatched.onQueueTimeout(serversKnown));
	}

	/**
	 * Sends an attempt and schedules its timeouts.
	 * @param dispatched the request
	 * @param attemptId id of the attempt
	 * @param server the selected server, which already counts this attempt
	 */
	void send(DispatchedRequest dispatched, String attemptId, BackendServer server) {
		CallerRequest request = dispatched.request();
		long remainingMs = dispatched.remainingMs();
		Attempt[] attemptHolder = new Attempt[1];
		Attempt attempt = new Attempt(attemptId, server, dispatched, () -> {
			this.registry.remove(attemptHolder[0]);
			this.directory.onAttemptEnded(server);
		});
		attemptHolder[0] = attempt;
		this.registry.add(attempt);
		dispatched.onAttemptCreated(attempt);
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
			.setStartBeforeMs(this.directory.startBeforeMs(server, startWindowMs(dispatched)))
			.setSuspect(dispatched.isSuspect())
			.setDeadlineMs(Math.max(1, remainingMs))
			.setFingerprint(request.fingerprint())
			.setInitialCreditBytes(INITIAL_CREDIT_BYTES)
			.setTokenStream(request.tokenStream());
		request.headers()
			.forEach((header) -> start.addHeaders(Header.newBuilder().setName(header.name()).setValue(header.value())));
		boolean sent = server.connection().send(Frame.newBuilder().setAttemptStart(start).build());
		if (!sent) {
			attempt.end(new AttemptOutcome.NotRun(AttemptFailure.NO_LINK), 0, 0);
			return;
		}
		scheduleTimeouts(attempt, request, startWindowMs(dispatched), remainingMs);
	}

	// Suspects get a longer window: they wait at the server until earlier attempts end.
	private static long startWindowMs(DispatchedRequest dispatched) {
		return dispatched.isSuspect() ? SUSPECT_START_WINDOW_MS : START_WINDOW_MS;
	}

	private void scheduleTimeouts(Attempt attempt, CallerRequest request, long startWindowMs, long remainingMs) {
		attempt.cancelAtEnd(after(startWindowMs + ACCEPT_GRACE_MS, () -> {
			if (attempt.isEnded() || attempt.isAccepted()) {
				return;
			}
			if (request.repeatable()) {
				attempt.abandon(AttemptFailure.TIMED_OUT);
			}
			else {
				// The sidecar's reply states whether the request ran.
				attempt.sendCancel();
			}
		}));
		if (request.repeatable()) {
			attempt.cancelAtEnd(after(headTimeoutMs(request, remainingMs), () -> {
				if (!attempt.hasHead()) {
					attempt.abandon(AttemptFailure.TIMED_OUT);
				}
			}));
		}
		attempt.cancelAtEnd(after(remainingMs, () -> attempt.abandon(AttemptFailure.TIMED_OUT)));
	}

	private static long headTimeoutMs(CallerRequest request, long remainingMs) {
		long halfMs = remainingMs / 2;
		return request.tokenStream()
				? Math.min(halfMs, HEAD_TIMEOUT_TARGET_MULTIPLE * request.service().targets().firstTokenMs()) : halfMs;
	}

	Timeout after(long delayMs, Runnable task) {
		return this.timer.newTimeout((timeout) -> task.run(), Math.max(1, delayMs), TimeUnit.MILLISECONDS);
	}

	RetryDecision decide(DispatchedRequest dispatched, AttemptOutcome outcome, RequestProgress progress) {
		ServiceQueue serviceQueue = serviceQueue(dispatched.request().service().name());
		synchronized (serviceQueue) {
			return this.retryPolicy.decide(outcome, progress, serviceQueue.retryBudget());
		}
	}

	void release(BackendServer server) {
		this.directory.onAttemptEnded(server);
	}

	void onFinished(DispatchedRequest dispatched) {
		if (this.active.remove(dispatched)) {
			this.totalBodyBytes.addAndGet(-dispatched.request().body().length);
		}
		onServersChanged(dispatched.request().service().name());
	}

	private void onState(ControlState before, ControlState after) {
		if (before.keys().equals(after.keys())) {
			return;
		}
		this.active.stream()
			.filter((dispatched) -> after.keys()
				.find(dispatched.request().keyId())
				.filter(WorkspaceKey::withdrawn)
				.isPresent())
			.forEach(DispatchedRequest::onKeyWithdrawn);
	}

	/**
	 * Refuses all active requests that were sent with a withdrawn key.
	 * @param keyId public part of the key
	 */
	public void onKeyWithdrawn(String keyId) {
		this.active.stream()
			.filter((dispatched) -> dispatched.request().keyId().equals(keyId))
			.forEach(DispatchedRequest::onKeyWithdrawn);
	}

	static String newAttemptId() {
		return UUID.randomUUID().toString();
	}

	ClaimCoordinator claims() {
		return this.claims;
	}

	SuspectRegistry suspects() {
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
		return INITIAL_CREDIT_BYTES;
	}

}
