package io.anvilusher.gateway.request;

import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.gateway.placement.PlacementTicket;
import io.anvilusher.gateway.stream.StreamBinding;
import io.anvilusher.gateway.stream.StreamOrigin;
import io.anvilusher.gateway.stream.StreamTakeUp;
import io.anvilusher.gateway.wire.KvStep;
import io.anvilusher.gateway.wire.ResponseHead;
import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.PlacementQueue;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.logic.request.EventSplitter;
import io.anvilusher.logic.request.SendLedger;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.PromptShape;
import io.anvilusher.model.request.RefusalReason;

/**
 * A request from its arrival until its response has been sent or aborted. All methods run
 * on the traffic thread.
 */
final class GatewayRequest {

	/**
	 * Prompts with fewer tokens than this are short: their prefill takes only a few ms.
	 */
	static final int SHORT_PROMPT_TOKENS = 1_024;

	private static final Logger LOGGER = LoggerFactory.getLogger(GatewayRequest.class);

	/**
	 * Maximum number of attempts of a request, including those that a server rejected or
	 * that never reached one.
	 */
	private static final int MAX_SENDS = 4;

	/** A request is not retried with less time left than this: one network round trip. */
	private static final long MIN_REMAINING_MS = 10;

	/**
	 * Bytes that may be pending for a slow caller before reading from the server is
	 * paused.
	 */
	private static final int MAX_PENDING_BYTES = 256 * 1024;

	/**
	 * Interval of the checks of a request that waits for a permit for a decode engine.
	 */
	private static final long PERMIT_CHECK_INTERVAL_MS = 5;

	/** Memory of a stream up to which it is not accounted for. */
	private static final int SMALL_STREAM_BYTES = 16 * 1024;

	private static final long NOT_WAITING = -1;

	/** The same request would be refused again for these reasons. */
	private static final Set<RefusalReason> FINAL_REASONS = EnumSet.of(RefusalReason.SUSPECTED_OF_CRASHES,
			RefusalReason.STREAM_ORIGIN_UNKNOWN, RefusalReason.STREAM_VERSION_GONE);

	private final Dispatcher dispatcher;

	private final RequestInput input;

	private final CallerResponse response;

	private final Set<String> excludedServers = new HashSet<>();

	private final EventSplitter eventSplitter = new EventSplitter();

	private final SendLedger ledger = new SendLedger();

	private final MemoryBudget.Account streamAccount;

	private @Nullable ServerAttempt currentAttempt;

	private @Nullable ServerAttempt streamAttempt;

	private @Nullable ResponseHead streamHead;

	private int eventsBeforeAttempt;

	private Optional<KvStep.Fetch> unfetchedKvCache = Optional.empty();

	private Runnable cancelTimeout = () -> {
	};

	private final LimitedPlacement limitedPlacement;

	private @Nullable TrackedServer decodeServer;

	private @Nullable PlacementTicket ticket;

	private OptionalLong coordinatorRetryAfterMs = OptionalLong.empty();

	private boolean late;

	private boolean prefillDone;

	private int possibleRuns;

	private boolean streamStarted;

	private Optional<StreamBinding> binding = Optional.empty();

	private boolean serverPaused;

	private boolean done;

	private long firstResultMs = -1;

	private long lastEventAtMs;

	private long longestPauseMs;

	private long waitingSinceMs = NOT_WAITING;

	private long queuedMs;

	private Optional<SaturationLimit> limit = Optional.empty();

	GatewayRequest(Dispatcher dispatcher, RequestInput input, CallerResponse response) {
		this.dispatcher = dispatcher;
		this.input = input;
		this.limitedPlacement = new LimitedPlacement(dispatcher.limits(), dispatcher.meters(), input.service());
		this.response = response;
		this.streamAccount = dispatcher.client().memory().open();
		input.exchange().addExchangeCompleteListener((ended, next) -> {
			UnexpectedExceptions.runAll(this::releaseMemory, this::endChargeIfDone);
			next.proceed();
		});
	}

	// Repeats what an exception may have prevented when the request ended.
	private void endChargeIfDone() {
		if (this.done) {
			this.input.charge().end();
		}
	}

	private void releaseMemory() {
		this.streamAccount.release();
		if (this.currentAttempt != null) {
			this.currentAttempt.releaseMemory();
		}
	}

	RequestInput input() {
		return this.input;
	}

	SendLedger ledger() {
		return this.ledger;
	}

	LimitedPlacement limitedPlacement() {
		return this.limitedPlacement;
	}

	/**
	 * Returns whether the request may be sent to a server.
	 * @param server the server
	 * @return false if the stream has begun at a server whose events do not fit to those
	 * of this one
	 */
	boolean mayUse(TrackedServer server) {
		return this.binding.map((bound) -> bound.allows(server.server())).orElse(true);
	}

	void start() {
		guard(() -> {
			this.response.onCallerDisconnected(() -> guard(this::onCallerDisconnected));
			this.cancelTimeout = this.dispatcher.schedule(this.input.timeoutAtMs() - this.dispatcher.nowMs(),
					() -> guard(this::onTimeout));
			if (refuseSuspect()) {
				return;
			}
			if (isTakeUp()) {
				takeUp();
				return;
			}
			placeOrEnqueue();
		});
	}

	private boolean isTakeUp() {
		return this.input.route().isStream() && this.input.route().resumable() && this.input.head().resumesStream();
	}

	private void takeUp() {
		this.dispatcher.takeUps()
			.decide(this.input.head().attemptId(), this.input.service(), this.input.head().resumesRequest())
			.whenComplete((decision, failure) -> guard(() -> onTakeUpDecided(decision, failure)));
	}

	private void onTakeUpDecided(@Nullable StreamTakeUp decision, @Nullable Throwable failure) {
		if (this.done) {
			return;
		}
		if (decision instanceof StreamTakeUp.Bound bound) {
			this.binding = Optional.of(bound.binding());
			placeOrEnqueue();
		}
		else if (decision instanceof StreamTakeUp.Refused refused) {
			refuse(refused.reason());
		}
		else {
			throw new IllegalStateException("no decision about a stream that is taken up", failure);
		}
	}

	// An exception ends this request only, even if the step runs within a step of another
	// one.
	private void guard(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			endUnexpectedly(this.currentAttempt, ex);
		}
	}

	/**
	 * Ends the request after an unexpected exception: its caller is told whether it may
	 * have run, and what it holds is given back. It is not sent again, since it is
	 * unknown how far the failed step has come.
	 * @param attempt the attempt that was being handled; null if there is none yet
	 * @param cause the exception or error
	 */
	void endUnexpectedly(@Nullable ServerAttempt attempt, Throwable cause) {
		boolean ended = this.done;
		this.done = true;
		RefusalReason reason = this.ledger.mayHaveRun() ? RefusalReason.SERVER_LOST : RefusalReason.GATEWAY_FAILED;
		UnexpectedExceptions.runAll(() -> logUnexpected(attempt, cause, ended),
				() -> Optional.ofNullable(attempt).ifPresent(ServerAttempt::endUnexpectedly),
				() -> Optional.ofNullable(this.currentAttempt).ifPresent(ServerAttempt::endUnexpectedly),
				() -> this.response.endUnexpectedly(reason, retryAfterMsIfKnown(reason)), this.cancelTimeout,
				() -> this.dispatcher.forget(this), this.input.charge()::end, this::releaseMemory,
				this::freeUnfetchedKvCache, () -> {
					if (!ended) {
						this.dispatcher.meters().refused(this.input.service(), reason);
						recordEnd(reason.code(), this.streamStarted ? 0 : reason.httpStatus());
					}
				});
	}

	private void logUnexpected(@Nullable ServerAttempt attempt, Throwable cause, boolean ended) {
		LOGGER.atError()
			.setCause(cause)
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("service", this.input.service())
			.addKeyValue("server", (attempt != null) ? attempt.serverId() : "")
			.addKeyValue("may_have_run", this.ledger.mayHaveRun())
			.addKeyValue("stream_started", this.streamStarted)
			.addKeyValue("already_ended", ended)
			.log("Unexpected exception; the request ends");
	}

	// Whatever threw first may throw here again, and the caller must be answered all the
	// same.
	private OptionalLong retryAfterMsIfKnown(RefusalReason reason) {
		try {
			return retryAfterMs(reason);
		}
		catch (RuntimeException | Error ex) {
			LOGGER.error("The time to retry after is not known; the request is refused without it", ex);
			return OptionalLong.empty();
		}
	}

	private void freeUnfetchedKvCache() {
		Optional<KvStep.Fetch> unfetched = this.unfetchedKvCache;
		this.unfetchedKvCache = Optional.empty();
		unfetched.ifPresent(this.dispatcher::freeKvCache);
	}

	private boolean refuseSuspect() {
		boolean refused = this.dispatcher.suspects().isRefused(this.input::subjects);
		if (refused) {
			refuse(RefusalReason.SUSPECTED_OF_CRASHES);
		}
		return refused;
	}

	// A coordinator knows nothing of the servers that a stream may go on at.
	private void placeOrEnqueue() {
		this.waitingSinceMs = this.dispatcher.nowMs();
		if (this.binding.isPresent()
				|| this.dispatcher.askCoordinator(this, this.excludedServers, new TicketListener()).isEmpty()) {
			placeWithoutCoordinator();
		}
	}

	private void placeWithoutCoordinator() {
		List<TrackedServer> engines = this.dispatcher.enginesToProbe(this, this.excludedServers);
		if (engines.isEmpty()) {
			placeOrEnqueueNow();
			return;
		}
		this.dispatcher.probe(engines, this.input.route().targetMs(), () -> guard(this::placeOrEnqueueNow));
	}

	private void placeOrEnqueueNow() {
		if (tryPlace()) {
			return;
		}
		OptionalLong nextPermitInMs = this.dispatcher.nextPermitInMs(this, this.excludedServers);
		if (nextPermitInMs.orElse(0) > maxQueueTimeMs()) {
			refuseSaturated(SaturationLimit.SERVER_LIMIT);
		}
		else if (!this.dispatcher.enqueue(this)) {
			this.dispatcher.onNotPlaced(this);
			refuseSaturated(SaturationLimit.QUEUE_LENGTH);
		}
		else if (nextPermitInMs.isPresent()) {
			this.limitedPlacement.onWaiting();
		}
	}

	private long maxQueueTimeMs() {
		return Math.min(PlacementQueue.maxQueueTimeMs(this.input.route().targetMs()),
				this.input.timeoutAtMs() - this.dispatcher.nowMs());
	}

	/**
	 * Tries to select a server and to send the request there; refuses the request if
	 * there is no usable server.
	 * @return false if all servers are full and the request has to wait; true if it was
	 * sent, refused or has ended
	 */
	boolean tryPlace() {
		try {
			return tryPlaceNow();
		}
		catch (RuntimeException | Error ex) {
			endUnexpectedly(this.currentAttempt, ex);
			return true;
		}
	}

	private boolean tryPlaceNow() {
		if (this.done || refuseSuspect()) {
			return true;
		}
		Placement placement = this.dispatcher.place(this, this.excludedServers);
		if (placement instanceof Placement.Full) {
			return false;
		}
		if (placement instanceof Placement.SingleServer unsplit) {
			return trySend(unsplit.server(), unsplit.uncachedTokens(), new KvStep.None(), null);
		}
		else if (placement instanceof Placement.Split split) {
			if (!mayPrefillAgain()) {
				refuseSaturated(SaturationLimit.RETRY_BUDGET);
				return true;
			}
			return tryPrefill(split.prefill(), split.decode(), split.uncachedTokens());
		}
		else {
			refuse(noServerReason());
		}
		return true;
	}

	private boolean tryPrefill(TrackedServer prefill, TrackedServer decode, int uncachedTokens) {
		if (!this.limitedPlacement.takeForDecode(decode, this.dispatcher.nowMs())) {
			return false;
		}
		this.decodeServer = decode;
		return trySend(prefill, uncachedTokens, new KvStep.Prefill(), null);
	}

	private void onAssigned(PlacementDecision.Assigned assigned) {
		if (this.done || refuseSuspect()) {
			endTicket();
			return;
		}
		Optional<TrackedServer> engine = this.dispatcher.acceptingServer(this.input.service(), assigned.engineId());
		Optional<TrackedServer> decode = assigned.decodeEngineId()
			.flatMap((id) -> this.dispatcher.acceptingServer(this.input.service(), id));
		if (engine.isEmpty() || decode.isPresent() != assigned.decodeEngineId().isPresent()) {
			String unusable = engine.isEmpty() ? assigned.engineId() : assigned.decodeEngineId().orElse("");
			failTicket(unusable, true);
			placeWithoutCoordinator();
			return;
		}
		Optional<TrackedServer> unfit = Stream.of(engine, decode)
			.flatMap(Optional::stream)
			.filter((assignedEngine) -> !mayUse(assignedEngine))
			.findFirst();
		if (unfit.isPresent() || !isPair(engine.get(), decode)) {
			rejectAssignment(unfit.or(() -> decode).orElse(engine.get()));
			return;
		}
		this.late = assigned.late();
		List<TrackedServer> lacking = this.limitedPlacement
			.lacking(Stream.of(engine, decode).flatMap(Optional::stream).toList(), this.dispatcher.nowMs());
		if (!lacking.isEmpty()) {
			rejectAssignment(lacking.get(0));
			return;
		}
		if (decode.isEmpty()) {
			if (!trySend(engine.get(), assigned.uncachedTokens(), new KvStep.None(), null)) {
				rejectAssignment(engine.get());
			}
			return;
		}
		if (!mayPrefillAgain()) {
			refuseSaturated(SaturationLimit.RETRY_BUDGET);
			return;
		}
		if (!tryPrefill(engine.get(), decode.get(), assigned.uncachedTokens())) {
			rejectAssignment(engine.get());
		}
	}

	// A coordinator may know an older or newer registration of one of the engines.
	private static boolean isPair(TrackedServer engine, Optional<TrackedServer> decode) {
		return decode.map((fetching) -> fetching.server().runsSoftwareOf(engine.server())).orElse(true);
	}

	// The coordinator does not know which permits this gateway has, nor where the stream
	// began.
	private void rejectAssignment(TrackedServer engine) {
		failTicket(engine.server().id(), true);
		placeWithoutCoordinator();
	}

	// The retry budget allowed one more attempt. Running the prefill again as well adds a
	// further request to the engines, so it takes another retry from the budget.
	private boolean mayPrefillAgain() {
		return !this.prefillDone
				|| this.dispatcher.serviceState(this.input.service()).retryBudget().tryRetry(this.dispatcher.nowMs());
	}

	/**
	 * Returns whether the coordinator expects the first event to be late.
	 * @return whether other requests are to go first at the engine
	 */
	boolean isLate() {
		return this.late;
	}

	/**
	 * Records that the prompt was prefilled.
	 */
	void onPromptPrefilled() {
		if (this.ticket != null) {
			this.ticket.onPrefilled();
		}
	}

	/**
	 * Records a load that a server reported.
	 * @param serverId id of the server
	 * @param load the load
	 */
	void onLoad(String serverId, ResponseHead.LoadReport load) {
		if (load.relativeTimePercent().isPresent() && this.input.route().carriesPrompt()) {
			this.dispatcher.onRelativeTimeReported(this.input.service());
		}
		if (this.ticket != null) {
			this.ticket.onLoad(serverId, load);
		}
	}

	private void failTicket(String serverId, boolean rejected) {
		if (this.ticket != null) {
			this.ticket.onFailed(serverId, rejected);
			this.ticket = null;
		}
	}

	/**
	 * Tells the coordinator, if there is one, that the request needs no engine any more.
	 */
	void endTicket() {
		if (this.ticket != null) {
			boolean paused = this.eventSplitter.events() > 1;
			this.ticket.onEnded(paused ? OptionalLong.of(this.longestPauseMs) : OptionalLong.empty(),
					this.input.route().pauseTargetMs());
			this.ticket = null;
		}
	}

	private boolean trySend(TrackedServer server, int uncachedTokens, KvStep step, @Nullable ServerAttempt prefill) {
		boolean permitted = this.dispatcher.limits().tryTake(server);
		if (permitted) {
			send(server, uncachedTokens, step, prefill);
		}
		return permitted;
	}

	// Called only with a permit, or for a server without a limit.
	private void send(TrackedServer server, int uncachedTokens, KvStep step, @Nullable ServerAttempt prefill) {
		if (this.binding.isEmpty() || !this.dispatcher.canCheckRestart(server)) {
			sendNow(server, uncachedTokens, step, prefill);
			return;
		}
		this.dispatcher.isUnchanged(server).thenAccept((unchanged) -> guard(() -> {
			if (this.done) {
				return;
			}
			if (unchanged) {
				sendNow(server, uncachedTokens, step, prefill);
			}
			else {
				onServerChanged(server, step, prefill);
			}
		}));
	}

	private void onServerChanged(TrackedServer server, KvStep step, @Nullable ServerAttempt prefill) {
		LOGGER.atInfo()
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("server", server.server().id())
			.addKeyValue("software_version", server.server().softwareVersion())
			.log("Server does not show the start that it registered with; the stream goes on elsewhere");
		this.excludedServers.add(server.server().id());
		if (step instanceof KvStep.Fetch fetch && prefill != null) {
			fetchOrWait(fetch, prefill);
		}
		else {
			placeOrEnqueue();
		}
	}

	private void sendNow(TrackedServer server, int uncachedTokens, KvStep step, @Nullable ServerAttempt prefill) {
		stopWaiting();
		ServerAttempt next = new ServerAttempt(this.dispatcher, this, server, uncachedTokens, step, prefill);
		this.currentAttempt = next;
		next.start();
	}

	private void stopWaiting() {
		if (this.waitingSinceMs != NOT_WAITING) {
			this.queuedMs += this.dispatcher.nowMs() - this.waitingSinceMs;
			this.waitingSinceMs = NOT_WAITING;
		}
	}

	OptionalLong resumeAfter() {
		return this.streamStarted ? this.eventSplitter.lastId() : OptionalLong.empty();
	}

	/**
	 * Refuses the request because its queue time is over.
	 */
	void refuseQueued() {
		guard(() -> {
			this.dispatcher.onNotPlaced(this);
			refuseSaturated(SaturationLimit.QUEUE_TIME);
		});
	}

	private void refuseSaturated(SaturationLimit reached) {
		this.limit = Optional.of(reached);
		refuse(RefusalReason.SERVICE_SATURATED);
	}

	/**
	 * Called when a prefill engine has computed the KV cache of the prompt; a decode
	 * engine fetches it next.
	 * @param attempt the prefill attempt
	 * @param source address (IP and port) of the prefill engine
	 * @param handle identifier that the engine assigned to the KV cache
	 */
	void onPrefilled(ServerAttempt attempt, String source, String handle) {
		KvStep.Fetch fetch = new KvStep.Fetch(source, handle);
		if (this.done || this.decodeServer == null) {
			this.dispatcher.freeKvCache(fetch);
			return;
		}
		this.unfetchedKvCache.ifPresent(this.dispatcher::freeKvCache);
		this.unfetchedKvCache = Optional.of(fetch);
		this.prefillDone = true;
		if (refuseSuspect()) {
			return;
		}
		// The prefill of a long prompt takes seconds, in which the decode engine may have
		// started to drain, and the permit for it may have expired.
		if (this.dispatcher.isAccepting(this.decodeServer)
				&& this.limitedPlacement.mayDecode(this.decodeServer, this.dispatcher.nowMs())) {
			send(this.decodeServer, 1, fetch, attempt);
			return;
		}
		fetchOrWait(fetch, attempt);
	}

	private void fetchOrWait(KvStep.Fetch fetch, ServerAttempt prefill) {
		if (this.done || tryFetch(fetch, prefill)) {
			return;
		}
		OptionalLong nextPermitInMs = this.dispatcher.nextPermitInMs(this, this.excludedServers);
		long leftMs = this.input.arrivedAtMs() + this.input.route().targetMs() - this.dispatcher.nowMs();
		if (nextPermitInMs.isPresent() && nextPermitInMs.getAsLong() < leftMs) {
			this.dispatcher.schedule(PERMIT_CHECK_INTERVAL_MS, () -> guard(() -> fetchOrWait(fetch, prefill)));
			return;
		}
		refuse(nextPermitInMs.isPresent() ? RefusalReason.SERVICE_SATURATED : noServerReason());
	}

	private boolean tryFetch(KvStep.Fetch fetch, ServerAttempt prefill) {
		return this.dispatcher.placeDecode(this, prefill.promptServer(), this.excludedServers)
			.filter((engine) -> trySend(engine, 1, fetch, prefill))
			.isPresent();
	}

	/**
	 * Called when it is certain that a server neither ran the request nor will run it.
	 * Retries the request or refuses it.
	 * @param attempt the failed attempt
	 * @param failure why the attempt failed
	 * @param arrived whether the request reached the server; the retry then counts
	 * against the retry budget
	 */
	void onNotRun(ServerAttempt attempt, AttemptFailure failure, boolean arrived) {
		if (attempt.isSendStarted()) {
			this.input.charge().onNotRun();
		}
		if (this.done) {
			return;
		}
		if (!retry(attempt, failure, arrived)) {
			this.limit = Optional.of(SaturationLimit.SERVERS);
			finishFailed(failure, RefusalReason.SERVICE_SATURATED);
		}
	}

	/**
	 * Called when an attempt failed and the server may have run the request. Retries the
	 * request only if its route allows it to run more than once.
	 * @param attempt the failed attempt
	 * @param failure why the attempt failed
	 */
	void onFailed(ServerAttempt attempt, AttemptFailure failure) {
		if (this.done) {
			return;
		}
		boolean ran = attempt.mayHaveRun();
		// A prefill is no run that counts against the attempts of the route.
		if (ran && !attempt.isPrefill()) {
			this.possibleRuns++;
		}
		if ((ran && !this.input.route().isRepeatable()) || !retry(attempt, failure, true)) {
			finishFailed(failure, RefusalReason.SERVER_LOST);
		}
	}

	/**
	 * Retries a request after a server error (5xx), if the route allows it and another
	 * server can run the complete request now.
	 * @param attempt the failed attempt
	 * @return whether the request is retried; if not, the server's error response is
	 * passed on to the caller
	 */
	boolean retryAfterError(ServerAttempt attempt) {
		if (this.done || this.input.route().isStream() || !this.input.route().isRepeatable()) {
			return false;
		}
		Set<String> tried = new HashSet<>(this.excludedServers);
		tried.add(attempt.serverId());
		if (!(this.dispatcher.place(this, tried) instanceof Placement.SingleServer)) {
			return false;
		}
		this.possibleRuns++;
		return retry(attempt, AttemptFailure.SERVER_CRASHED, true);
	}

	private boolean retry(ServerAttempt attempt, AttemptFailure failure, boolean arrived) {
		long nowMs = this.dispatcher.nowMs();
		this.excludedServers.add(attempt.serverId());
		boolean continues = !this.streamStarted
				|| (this.input.route().resumable() && this.eventSplitter.lastId().isPresent());
		boolean mayRepeat = this.input.route().isRepeatable() || !this.ledger.mayHaveRun();
		boolean allowed = continues && mayRepeat && this.possibleRuns < this.input.route().maxAttempts()
				&& this.ledger.size() < MAX_SENDS && this.input.timeoutAtMs() - nowMs > MIN_REMAINING_MS;
		if (!allowed
				|| (arrived && !this.dispatcher.serviceState(this.input.service()).retryBudget().tryRetry(nowMs))) {
			return false;
		}
		failTicket(attempt.serverId(), failure == AttemptFailure.SERVER_FULL);
		this.dispatcher.meters().retried(this.input.service(), failure);
		LOGGER.atInfo()
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("server", attempt.serverId())
			.addKeyValue("attempts", this.ledger.describe())
			.addKeyValue("failure", failure.label())
			.addKeyValue("after_ms", attempt.elapsedMs())
			.log("Attempt failed; the request is sent again");
		this.streamAttempt = null;
		this.streamHead = this.streamStarted ? this.streamHead : null;
		this.serverPaused = false;
		this.eventSplitter.dropPartialEvent();
		accountForStream();
		if (refuseSuspect()) {
			return true;
		}
		if (failure != AttemptFailure.SERVER_UNREACHABLE || !fetchOnOtherServer(attempt)) {
			placeOrEnqueue();
		}
		return true;
	}

	// The decode engine could not be reached, so the KV cache is still at the prefill
	// engine and another decode engine can fetch it.
	private boolean fetchOnOtherServer(ServerAttempt attempt) {
		if (!(attempt.step() instanceof KvStep.Fetch fetch) || this.unfetchedKvCache.isEmpty()) {
			return false;
		}
		return attempt.prefill() != null && tryFetch(fetch, attempt.prefill());
	}

	private void finishFailed(AttemptFailure failure, RefusalReason reason) {
		if (this.streamStarted) {
			abortStream("attempt failed: " + failure.label());
			return;
		}
		refuse(reason);
	}

	private void refuse(RefusalReason proposed) {
		if (this.streamStarted) {
			abortStream("no server continues the stream");
			return;
		}
		// The reason informs the caller whether the request may have been run. A proposed
		// reason that contradicts what is known about the attempts is replaced.
		boolean mayHaveRun = this.ledger.mayHaveRun();
		RefusalReason reason = (proposed.notRun() && mayHaveRun) ? RefusalReason.SERVER_LOST : proposed;
		reason = (!proposed.notRun() && !mayHaveRun) ? RefusalReason.NO_SERVER : reason;
		if (reason == RefusalReason.SERVICE_SATURATED
				&& this.dispatcher.nextPermitInMs(this, this.excludedServers).isPresent()) {
			this.limitedPlacement.onRefused();
		}
		OptionalLong retryAfterMs = retryAfterMs(reason);
		finish(reason.code(), reason.httpStatus());
		this.dispatcher.meters().refused(this.input.service(), reason);
		// Nothing of the request may leave once its caller is told that it was not run.
		if (this.currentAttempt != null && this.currentAttempt.isActive()) {
			this.currentAttempt.abandon();
		}
		this.response.refuse(reason, retryAfterMs);
	}

	// Also ends a call that is only read on for the sake of its connection.
	private void abandonLastAttempt() {
		if (this.currentAttempt != null) {
			this.currentAttempt.abandon();
		}
	}

	private OptionalLong retryAfterMs(RefusalReason reason) {
		if (reason == RefusalReason.SERVICE_SATURATED && this.coordinatorRetryAfterMs.isPresent()) {
			return this.coordinatorRetryAfterMs;
		}
		boolean worthRetrying = reason.notRun() && !FINAL_REASONS.contains(reason);
		return worthRetrying ? OptionalLong.of(this.dispatcher.retryAfterMs(this.input.service()))
				: OptionalLong.empty();
	}

	private void abortStream(String cause) {
		finish("broken off: " + cause, 0);
		this.response.abort();
	}

	private void onTimeout() {
		if (!this.done) {
			refuseInProgress(RefusalReason.DEADLINE_EXCEEDED, RefusalReason.QUEUE_TIMEOUT);
		}
	}

	/**
	 * Ends the request because the process ends.
	 */
	void endForShutdown() {
		guard(() -> {
			if (!this.done) {
				refuseInProgress(RefusalReason.SERVER_LOST, RefusalReason.ENTRY_DRAINING);
			}
		});
	}

	private void refuseInProgress(RefusalReason reasonIfRun, RefusalReason reasonIfNotRun) {
		refuse(this.ledger.mayHaveRun() ? reasonIfRun : reasonIfNotRun);
		abandonLastAttempt();
	}

	private void onCallerDisconnected() {
		if (this.done) {
			return;
		}
		finish("caller gone", 0);
		abandonLastAttempt();
	}

	/**
	 * Returns whether a response can still be passed on. Once events of a stream were
	 * sent, only a stream can follow.
	 * @param head head of the response
	 * @return whether its status and body can be sent to the caller
	 */
	boolean canDeliver(ResponseHead head) {
		return !this.streamStarted || head.continues(this.streamHead);
	}

	void onStreamHead(ServerAttempt attempt, ResponseHead head) {
		this.streamAttempt = attempt;
		this.eventsBeforeAttempt = this.eventSplitter.events();
		this.streamHead = (this.streamHead != null) ? this.streamHead : head;
		this.unfetchedKvCache = Optional.empty();
	}

	boolean isStreamAttempt(ServerAttempt attempt) {
		return this.streamAttempt == attempt;
	}

	void onStreamData(ServerAttempt attempt, ByteBuffer data) {
		if (this.done) {
			return;
		}
		if (!this.eventSplitter.accepts(data)) {
			attempt.failBroken();
			return;
		}
		boolean first = this.eventSplitter.events() == 0;
		byte[] completeEvents = this.eventSplitter.add(data);
		if (completeEvents.length > 0) {
			forwardEvents(attempt, completeEvents, first);
		}
		if (this.eventSplitter.isOutOfOrder()) {
			attempt.failBroken();
		}
		else if (!this.done && !accountForStream()) {
			onOutOfMemory(attempt);
		}
	}

	private boolean accountForStream() {
		int memoryBytes = this.eventSplitter.memoryBytes() + this.response.pendingBytes();
		return this.streamAccount.tryResize((memoryBytes > SMALL_STREAM_BYTES) ? memoryBytes : 0);
	}

	// Waits for the caller if it is behind; otherwise the memory is needed for an event
	// that the server has not completed.
	private void onOutOfMemory(ServerAttempt attempt) {
		if (this.response.pendingBytes() > 0) {
			pauseServer(attempt);
			return;
		}
		LOGGER.atWarn()
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("server", attempt.serverId())
			.addKeyValue("memory_bytes", this.eventSplitter.memoryBytes())
			.log("No memory left for an event of a stream; its connection is closed");
		attempt.failBroken();
	}

	private void pauseServer(ServerAttempt attempt) {
		if (!this.serverPaused) {
			this.serverPaused = true;
			attempt.pause();
		}
	}

	private void forwardEvents(ServerAttempt attempt, byte[] completeEvents, boolean first) {
		long nowMs = this.dispatcher.nowMs();
		if (first) {
			this.firstResultMs = nowMs - this.input.arrivedAtMs();
			attempt.onFirstResult();
			if (this.ticket != null) {
				this.ticket.onFirstEvent();
			}
		}
		else {
			this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - this.lastEventAtMs);
			attempt.onPause(nowMs - this.lastEventAtMs);
		}
		this.lastEventAtMs = nowMs;
		if (!this.streamStarted && this.streamHead != null) {
			this.streamStarted = true;
			this.binding = this.binding.or(() -> Optional.of(StreamBinding.to(attempt.server())));
			this.response.beginStream(this.streamHead.status(), this.streamHead.callerHeaders());
		}
		this.response.sendEvents(completeEvents, () -> guard(this::onEventsWritten));
		if (first) {
			recordOrigin(attempt.server());
		}
		if (this.response.pendingBytes() > MAX_PENDING_BYTES) {
			pauseServer(attempt);
		}
	}

	private void recordOrigin(RegisteredServer server) {
		String requestId = this.input.head().attemptId();
		if (this.input.route().resumable() && !this.input.head().resumesStream() && !requestId.isEmpty()
				&& !server.softwareVersion().isEmpty()) {
			this.dispatcher.origins().onBegun(requestId, new StreamOrigin(server.service(), server.softwareVersion()));
		}
	}

	private void onEventsWritten() {
		accountForStream();
		if (this.serverPaused && this.response.pendingBytes() < MAX_PENDING_BYTES / 2) {
			this.serverPaused = false;
			if (this.currentAttempt != null) {
				this.currentAttempt.resume();
			}
		}
	}

	void onStreamEnd(ServerAttempt attempt) {
		if (this.done) {
			return;
		}
		boolean empty = this.eventSplitter.events() == this.eventsBeforeAttempt;
		boolean maybeEmpty = this.streamStarted || this.input.head().resumesStream();
		if (this.eventSplitter.hasPartialEvent() || !maybeEmpty || (empty && !attempt.isFramed())) {
			onFailed(attempt, AttemptFailure.ANSWER_CUT);
			return;
		}
		if (!this.streamStarted) {
			this.streamStarted = true;
			this.response.beginStream(this.streamHead.status(), this.streamHead.callerHeaders());
		}
		attempt.onWholeResponse();
		finish("answered", this.streamHead.status());
		this.response.endStream();
	}

	void onCompleteResponse(ServerAttempt attempt, ResponseHead head, byte[] body) {
		if (this.done) {
			return;
		}
		this.unfetchedKvCache = Optional.empty();
		this.firstResultMs = this.dispatcher.nowMs() - this.input.arrivedAtMs();
		boolean claimsNotRun = head.status() == 408 || head.status() == 421 || head.status() == 429
				|| head.status() == 503;
		if (claimsNotRun) {
			// The server ran the request, but a caller would take one of these statuses
			// to mean that it was not run.
			refuse(RefusalReason.SERVER_LOST);
			return;
		}
		finish("answered", head.status());
		this.response.send(head.status(), head.callerHeaders(), body);
	}

	private RefusalReason noServerReason() {
		return this.dispatcher.noServerReason(this.input.service());
	}

	private void finish(String outcome, int status) {
		this.done = true;
		this.dispatcher.forget(this);
		this.cancelTimeout.run();
		this.input.charge().end();
		freeUnfetchedKvCache();
		recordEnd(outcome, status);
	}

	private void recordEnd(String outcome, int status) {
		stopWaiting();
		long nowMs = this.dispatcher.nowMs();
		Optional<PromptShape> prompt = this.input.head().prompt();
		int promptTokens = prompt.map(PromptShape::promptTokens).orElse(0);
		this.dispatcher.recordEnd(this.input.service(), status, this.firstResultMs, nowMs - this.input.arrivedAtMs());
		if (this.input.route().carriesPrompt()) {
			this.dispatcher.recordPromptEnd(this.input.service(), status, promptTokens);
		}
		LOGGER.atInfo()
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("route", this.input.route().name())
			.addKeyValue("service", this.input.service())
			.addKeyValue("workspace", this.input.workspace().orElse(""))
			.addKeyValue("table_version", this.input.tableVersion())
			.addKeyValue("server", (this.currentAttempt != null) ? this.currentAttempt.serverId() : "")
			.addKeyValue("software_version",
					(this.currentAttempt != null) ? this.currentAttempt.server().softwareVersion() : "")
			.addKeyValue("sends", this.ledger.size())
			.addKeyValue("attempts", this.ledger.describe())
			.addKeyValue("status", status)
			.addKeyValue("first_result_ms", this.firstResultMs)
			.addKeyValue("events", this.eventSplitter.events())
			.addKeyValue("longest_pause_ms", this.longestPauseMs)
			.addKeyValue("queued_ms", this.queuedMs)
			.addKeyValue("total_ms", nowMs - this.input.arrivedAtMs())
			.addKeyValue("prompt_tokens", promptTokens)
			.addKeyValue("max_output_tokens", prompt.map(PromptShape::maxOutputTokens).orElse(0))
			.addKeyValue("body_bytes", this.input.body().length)
			.addKeyValue("outcome", outcome)
			.addKeyValue("limit", this.limit.map(SaturationLimit::label).orElse(""))
			.log("Request ended");
	}

	private final class TicketListener implements PlacementTicket.Listener {

		@Override
		public void onAsked(PlacementTicket asked) {
			GatewayRequest.this.ticket = asked;
		}

		@Override
		public void onAssigned(PlacementDecision.Assigned assigned) {
			guard(() -> GatewayRequest.this.onAssigned(assigned));
		}

		@Override
		public void onRefused(long retryAfterMs) {
			guard(() -> {
				GatewayRequest.this.coordinatorRetryAfterMs = OptionalLong.of(retryAfterMs);
				if (!GatewayRequest.this.done) {
					refuseSaturated(SaturationLimit.COORDINATOR);
				}
			});
		}

		@Override
		public void onNotCoordinated() {
			guard(() -> {
				if (!GatewayRequest.this.done) {
					placeWithoutCoordinator();
				}
			});
		}

	}

}
