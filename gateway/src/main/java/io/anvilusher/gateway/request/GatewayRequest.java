package io.anvilusher.gateway.request;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.gateway.wire.KvStep;
import io.anvilusher.gateway.wire.ServerHead;
import io.anvilusher.logic.placement.Placement;
import io.anvilusher.logic.placement.ServerTrack;
import io.anvilusher.logic.request.EventSplitter;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.RefusalReason;

/**
 * A request from its arrival to its answer. All work is done on the traffic thread.
 */
final class GatewayRequest {

	/** Size below which a prompt is short, in tokens. Source: some ms of reading. */
	static final int SHORT_PROMPT_TOKENS = 1_024;

	private static final Logger LOGGER = LoggerFactory.getLogger(GatewayRequest.class);

	/** Most sendings of a request, those included that no server accepted. */
	private static final int MAX_SENDS = 4;

	/** Time left below which a request is not sent again, in ms. Source: a round trip. */
	private static final long MIN_REMAINING_MS = 10;

	/** Bytes that a slow caller may leave unread before its server is slowed down. */
	private static final int MAX_PENDING_BYTES = 256 * 1024;

	private final Dispatcher dispatcher;

	private final RequestInput input;

	private final CallerAnswer answer;

	private final Set<String> avoided = new HashSet<>();

	private final EventSplitter events = new EventSplitter();

	private @Nullable ServerAttempt attempt;

	private @Nullable ServerAttempt stream;

	private @Nullable ServerHead streamHead;

	private Optional<KvStep.Fetch> unusedHandle = Optional.empty();

	private Runnable cancelTimer = () -> {
	};

	private @Nullable ServerTrack decodeTarget;

	private boolean promptWasRead;

	private int sends;

	private int runs;

	private boolean mayHaveRun;

	private boolean streaming;

	private boolean waitsForCaller;

	private boolean done;

	private long firstResultMs = -1;

	GatewayRequest(Dispatcher dispatcher, RequestInput input) {
		this.dispatcher = dispatcher;
		this.input = input;
		this.answer = new CallerAnswer(input.exchange());
	}

	RequestInput input() {
		return this.input;
	}

	void start() {
		this.answer.onCallerGone(this::onCallerGone);
		this.cancelTimer = this.dispatcher.after(this.input.endMs() - this.dispatcher.nowMs(), this::expire);
		placeOrWait();
	}

	private void placeOrWait() {
		if (!tryPlace() && !this.dispatcher.await(this)) {
			turnAway();
		}
	}

	/**
	 * Tries to place the request.
	 * @return whether it needs no place any more
	 */
	boolean tryPlace() {
		if (this.done) {
			return true;
		}
		Placement placement = this.dispatcher.place(this, this.avoided);
		if (placement instanceof Placement.Full) {
			return false;
		}
		if (placement instanceof Placement.Whole whole) {
			send(whole.server(), whole.uncachedTokens(), new KvStep.None(), null);
		}
		else if (placement instanceof Placement.Split split) {
			// Reading a prompt again is one more arrival than the repeat that was
			// allowed.
			if (this.promptWasRead
					&& !this.dispatcher.desk(this.input.service()).retries().tryRepeat(this.dispatcher.nowMs())) {
				giveUp(RefusalReason.SERVICE_SATURATED);
				return true;
			}
			this.decodeTarget = split.decode();
			send(split.prefill(), split.uncachedTokens(), new KvStep.Prefill(), null);
		}
		else {
			giveUp(RefusalReason.NO_SERVER);
		}
		return true;
	}

	private void send(ServerTrack server, int uncachedTokens, KvStep step, @Nullable ServerAttempt prefill) {
		this.sends++;
		ServerAttempt next = new ServerAttempt(this.dispatcher, this, server, uncachedTokens, step, prefill);
		this.attempt = next;
		next.start();
	}

	OptionalLong resumeAfter() {
		return this.streaming ? this.events.lastId() : OptionalLong.empty();
	}

	void turnAway() {
		giveUp(RefusalReason.SERVICE_SATURATED);
	}

	/**
	 * A prefill engine has read the prompt.
	 * @param from the attempt
	 * @param source address of the engine, an IP number and a port
	 * @param handle name that the engine gave the KV cache
	 */
	void onPrefilled(ServerAttempt from, String source, String handle) {
		KvStep.Fetch fetch = new KvStep.Fetch(source, handle);
		if (this.done || this.decodeTarget == null) {
			free(fetch);
			return;
		}
		this.unusedHandle.ifPresent(this::free);
		this.unusedHandle = Optional.of(fetch);
		this.promptWasRead = true;
		send(this.decodeTarget, 1, fetch, from);
	}

	/**
	 * A server did not run the request and will not.
	 * @param from the attempt
	 * @param failure why
	 * @param arrived whether the server got the request
	 */
	void onNotRun(ServerAttempt from, AttemptFailure failure, boolean arrived) {
		if (this.done) {
			return;
		}
		if (!repeat(from, failure, arrived)) {
			finishWithout(failure, RefusalReason.SERVICE_SATURATED);
		}
	}

	/**
	 * An attempt failed, and it is unknown whether the server ran the request.
	 * @param from the attempt
	 * @param failure why
	 */
	void onFailed(ServerAttempt from, AttemptFailure failure) {
		if (this.done) {
			return;
		}
		boolean ran = from.mayHaveRun();
		if (ran) {
			this.mayHaveRun = true;
			this.runs++;
		}
		if ((ran && !this.input.route().isRepeatable()) || !repeat(from, failure, true)) {
			finishWithout(failure, RefusalReason.SERVER_LOST);
		}
	}

	/**
	 * Repeats a request that its server answered with an error, if it may run again.
	 * @param from the attempt
	 * @return whether it is repeated; otherwise the server's answer is the final one
	 */
	boolean retryAfterError(ServerAttempt from) {
		if (this.done || this.input.route().isStream() || !this.input.route().isRepeatable()) {
			return false;
		}
		Set<String> tried = new HashSet<>(this.avoided);
		tried.add(from.serverId());
		if (!(this.dispatcher.place(this, tried) instanceof Placement.Whole)) {
			return false;
		}
		this.mayHaveRun = true;
		this.runs++;
		return repeat(from, AttemptFailure.SERVER_CRASHED, true);
	}

	private boolean repeat(ServerAttempt from, AttemptFailure failure, boolean arrived) {
		long nowMs = this.dispatcher.nowMs();
		this.avoided.add(from.serverId());
		boolean resumes = !this.streaming || (this.input.route().resumable() && this.events.lastId().isPresent());
		boolean allowed = resumes && this.runs < this.input.route().maxAttempts() && this.sends < MAX_SENDS
				&& this.input.endMs() - nowMs > MIN_REMAINING_MS;
		if (!allowed || (arrived && !this.dispatcher.desk(this.input.service()).retries().tryRepeat(nowMs))) {
			return false;
		}
		this.dispatcher.meters().retried(this.input.service(), failure);
		LOGGER.atInfo()
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("server", from.serverId())
			.addKeyValue("failure", failure.label())
			.addKeyValue("after_ms", from.elapsedMs())
			.log("Attempt failed; the request is sent again");
		this.stream = null;
		this.events.dropPartialEvent();
		if (failure != AttemptFailure.SERVER_UNREACHABLE || !fetchElsewhere(from)) {
			placeOrWait();
		}
		return true;
	}

	// The engine that was to fetch the KV cache did not get the request, so the cache is
	// still there.
	private boolean fetchElsewhere(ServerAttempt from) {
		if (!(from.step() instanceof KvStep.Fetch fetch) || this.unusedHandle.isEmpty()) {
			return false;
		}
		Optional<ServerTrack> target = this.dispatcher.placeFetch(this, from.source(), this.avoided);
		target.ifPresent((engine) -> send(engine, 1, fetch, from.prefill()));
		return target.isPresent();
	}

	private void finishWithout(AttemptFailure failure, RefusalReason reason) {
		if (this.streaming) {
			breakOff("attempt failed: " + failure.label());
			return;
		}
		giveUp(reason);
	}

	private void giveUp(RefusalReason wanted) {
		if (this.streaming) {
			breakOff("no server continues the stream");
			return;
		}
		RefusalReason reason = (wanted.notRun() && this.mayHaveRun) ? RefusalReason.SERVER_LOST : wanted;
		reason = (!wanted.notRun() && !this.mayHaveRun) ? RefusalReason.NO_SERVER : reason;
		OptionalLong retryAfterMs = reason.notRun()
				? OptionalLong.of(this.dispatcher.returnAfterMs(this.input.service())) : OptionalLong.empty();
		finish(reason.code(), reason.httpStatus());
		this.dispatcher.meters().refused(this.input.service(), reason);
		this.answer.refuse(reason, retryAfterMs);
	}

	private void breakOff(String why) {
		finish("broken off: " + why, 0);
		this.answer.breakOff();
	}

	private void expire() {
		if (this.done) {
			return;
		}
		ServerAttempt running = this.attempt;
		this.mayHaveRun |= running != null && running.mayHaveRun();
		giveUp(this.mayHaveRun ? RefusalReason.DEADLINE_EXCEEDED : RefusalReason.QUEUE_TIMEOUT);
		if (running != null) {
			running.cancel();
		}
	}

	private void onCallerGone() {
		if (this.done) {
			return;
		}
		finish("caller gone", 0);
		if (this.attempt != null) {
			this.attempt.cancel();
		}
	}

	void onStreamHead(ServerAttempt from, ServerHead head) {
		this.stream = from;
		this.streamHead = (this.streamHead != null) ? this.streamHead : head;
		this.unusedHandle = Optional.empty();
	}

	boolean isStreamOf(ServerAttempt from) {
		return this.stream == from;
	}

	void onStreamData(ServerAttempt from, ByteBuffer data) {
		if (this.done) {
			return;
		}
		boolean first = this.events.events() == 0;
		byte[] whole = this.events.add(data);
		if (whole.length == 0) {
			return;
		}
		if (first) {
			this.firstResultMs = this.dispatcher.nowMs() - this.input.arrivedAtMs();
			from.onFirstResult();
		}
		if (!this.streaming && this.streamHead != null) {
			this.streaming = true;
			this.answer.beginStream(this.streamHead.status(), this.streamHead.passedOn());
		}
		this.answer.events(whole, this::onEventsWritten);
		if (this.answer.pendingBytes() > MAX_PENDING_BYTES && !this.waitsForCaller) {
			this.waitsForCaller = true;
			from.pause();
		}
	}

	private void onEventsWritten() {
		if (this.waitsForCaller && this.answer.pendingBytes() < MAX_PENDING_BYTES / 2) {
			this.waitsForCaller = false;
			if (this.attempt != null) {
				this.attempt.resume();
			}
		}
	}

	void onStreamEnd(ServerAttempt from) {
		if (this.done) {
			return;
		}
		if (this.events.hasPartialEvent() || !this.streaming) {
			onFailed(from, AttemptFailure.ANSWER_CUT);
			return;
		}
		finish("answered", this.streamHead.status());
		this.answer.endStream();
	}

	void onWhole(ServerAttempt from, ServerHead head, byte[] body) {
		if (this.done) {
			return;
		}
		this.unusedHandle = Optional.empty();
		this.firstResultMs = this.dispatcher.nowMs() - this.input.arrivedAtMs();
		boolean promises = head.status() == 408 || head.status() == 421 || head.status() == 429 || head.status() == 503;
		if (promises) {
			// The server ran the request, so its status would promise too much.
			this.mayHaveRun = true;
			giveUp(RefusalReason.SERVER_LOST);
			return;
		}
		finish("answered", head.status());
		this.answer.whole(head.status(), head.passedOn(), body);
	}

	private void free(KvStep.Fetch fetch) {
		this.dispatcher.client()
			.start(this.dispatcher.format().freeHandle(fetch.source(), fetch.handle()), IgnoredAnswer.INSTANCE);
	}

	private void finish(String outcome, int status) {
		this.done = true;
		this.cancelTimer.run();
		this.dispatcher.desk(this.input.service()).line().remove(this);
		this.unusedHandle.ifPresent(this::free);
		long nowMs = this.dispatcher.nowMs();
		this.dispatcher.onEnded(this.input.service(), status, this.firstResultMs, nowMs - this.input.arrivedAtMs());
		LOGGER.atInfo()
			.addKeyValue("request_id", this.input.head().attemptId())
			.addKeyValue("route", this.input.route().name())
			.addKeyValue("service", this.input.service())
			.addKeyValue("workspace", this.input.workspace().orElse(""))
			.addKeyValue("table_version", this.input.tableVersion())
			.addKeyValue("server", (this.attempt != null) ? this.attempt.serverId() : "")
			.addKeyValue("sends", this.sends)
			.addKeyValue("status", status)
			.addKeyValue("first_result_ms", this.firstResultMs)
			.addKeyValue("total_ms", nowMs - this.input.arrivedAtMs())
			.addKeyValue("outcome", outcome)
			.log("Request ended");
	}

}
