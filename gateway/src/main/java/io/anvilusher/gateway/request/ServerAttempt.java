package io.anvilusher.gateway.request;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalInt;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.http.BodyBuffer;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.adapters.http.RunningCall;
import io.anvilusher.adapters.http.UnexpectedCallException;
import io.anvilusher.gateway.wire.ForwardingInfo;
import io.anvilusher.gateway.wire.KvStep;
import io.anvilusher.gateway.wire.ResponseHead;
import io.anvilusher.logic.placement.EnginePlacer;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.logic.request.SendLedger;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.PromptShape;

/**
 * One attempt of a request at one server. It updates what this gateway tracks about the
 * server (load, health, cached prompt parts) and passes the outcome on to the request.
 */
final class ServerAttempt implements HttpCallListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(ServerAttempt.class);

	private static final int MISDIRECTED = 421;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int LONG_PROMPT_PRIORITY = 4;

	/** Priority of long prompts whose first event can no longer be on time. */
	private static final int LATE_PRIORITY = 6;

	/** Largest response that is buffered until it is complete. */
	private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

	/**
	 * Most bytes of an ignored response that are read for the sake of the connection.
	 */
	private static final int MAX_SKIPPED_BYTES = 64 * 1024;

	private final Dispatcher dispatcher;

	private final GatewayRequest request;

	private final TrackedServer trackedServer;

	private final int uncachedTokens;

	private final KvStep step;

	private final @Nullable ServerAttempt prefill;

	private final long sentAtMs;

	private final long observerDelayAtStartMs;

	private long observerDelayAtEventMs;

	private final BodyBuffer bufferedBody;

	private final boolean repeated;

	private final SendLedger.Send send;

	private @Nullable RunningCall call;

	private @Nullable ResponseHead head;

	private boolean framed;

	private boolean promptReleased;

	private boolean ended;

	private boolean ignored;

	private boolean runCounted;

	private long skippedBytes;

	ServerAttempt(Dispatcher dispatcher, GatewayRequest request, TrackedServer trackedServer, int uncachedTokens,
			KvStep step, @Nullable ServerAttempt prefill) {
		this.prefill = prefill;
		this.dispatcher = dispatcher;
		this.request = request;
		this.trackedServer = trackedServer;
		this.uncachedTokens = uncachedTokens;
		this.step = step;
		String address = trackedServer.server().address();
		this.repeated = request.ledger().containsAddress(address);
		this.send = request.ledger().add(trackedServer.server().id(), address, step.label());
		this.bufferedBody = new BodyBuffer(MAX_BUFFERED_BYTES, dispatcher.client().memory().open());
		this.sentAtMs = dispatcher.nowMs();
		this.observerDelayAtStartMs = trackedServer.observerDelayMs();
	}

	void start() {
		RequestInput input = this.request.input();
		this.trackedServer.onSent(this.sentAtMs);
		this.trackedServer.window().onSent(this.uncachedTokens, this.sentAtMs);
		OptionalInt priority = input.head().prompt().map(this::priority).orElseGet(OptionalInt::empty);
		ForwardingInfo info = new ForwardingInfo(serverId(), Math.max(1, input.deadlineMs() - this.sentAtMs),
				input.workspace(), priority, this.request.resumeAfter(), this.step);
		List<HttpHeader> headers = this.dispatcher.format()
			.forwardedHeaders(input.exchange().getRequestHeaders(), info);
		HttpCall httpCall = new HttpCall(input.exchange().getRequestMethod().toString(),
				URI.create("http://" + this.trackedServer.server().address()), input.path(), headers, input.body(),
				!isAnswerIdentifiable());
		this.call = this.dispatcher.client().start(httpCall, this);
	}

	// On a kept connection, a late answer to an earlier send of the same request would be
	// taken for the answer to this one.
	private boolean isAnswerIdentifiable() {
		return !this.repeated && !this.request.input().head().attemptId().isEmpty();
	}

	// Short prompts get priority 1 and run before long ones with priority 4: a short
	// prompt delays a long one only a little, a long prompt delays a short one a lot.
	private OptionalInt priority(PromptShape prompt) {
		int longPromptPriority = this.request.isLate() ? LATE_PRIORITY : LONG_PROMPT_PRIORITY;
		return OptionalInt.of((prompt.promptTokens() < GatewayRequest.SHORT_PROMPT_TOKENS) ? 1 : longPromptPriority);
	}

	String serverId() {
		return this.trackedServer.server().id();
	}

	RegisteredServer server() {
		return this.trackedServer.server();
	}

	KvStep step() {
		return this.step;
	}

	@Nullable ServerAttempt prefill() {
		return this.prefill;
	}

	/**
	 * Returns the engine that computes the KV cache of the prompt.
	 * @return the engine of the prefill attempt if this attempt fetches the KV cache,
	 * otherwise this attempt's own server
	 */
	TrackedServer promptServer() {
		return promptAttempt().trackedServer;
	}

	boolean isSendStarted() {
		return this.send.isStarted();
	}

	boolean mayHaveRun() {
		return this.send.mayHaveRun();
	}

	boolean isPrefill() {
		return this.step instanceof KvStep.Prefill;
	}

	/**
	 * Returns whether the outcome of the attempt is still open.
	 * @return false if it has an outcome or was cancelled
	 */
	boolean isActive() {
		return !this.ended;
	}

	/**
	 * Returns whether the response has a length or chunks, so that its end is known even
	 * if it has no body.
	 * @return false if the response ends with its connection
	 */
	boolean isFramed() {
		return this.framed;
	}

	long elapsedMs() {
		return this.dispatcher.nowMs() - this.sentAtMs;
	}

	/**
	 * Returns whether the time that the server took is known.
	 * @return false if this gateway could not read responses for part of the time
	 */
	private boolean isTimeKnown() {
		return this.trackedServer.observerDelayMs() == this.observerDelayAtStartMs;
	}

	void pause() {
		if (this.call != null && !this.ended) {
			this.call.pause();
		}
	}

	void resume() {
		if (this.call != null && !this.ended) {
			this.call.resume();
		}
	}

	/**
	 * Cancels the attempt; the request gets no more notifications from it.
	 */
	void cancel() {
		this.ignored = true;
		end();
		releaseMemory();
		if (this.call != null) {
			this.call.cancel();
		}
	}

	/**
	 * Cancels the attempt because its request has ended without a whole response. If the
	 * server is silent, it may have gone dark, which closes no connection.
	 */
	void abandon() {
		if (this.send.isStarted() && !this.ended && !isLeaving()
				&& this.trackedServer.health().isUnresponsive(this.dispatcher.nowMs())) {
			this.dispatcher.onServerSilent(this.trackedServer, this.request.input().subjects());
		}
		cancel();
	}

	@Override
	public void onSending() {
		if (!this.send.isStarted()) {
			this.send.onStarted();
			this.request.input().charge().onSending();
		}
	}

	@Override
	public void onHead(int status, List<HttpHeader> headers, boolean responseFramed) {
		guard(() -> readHead(status, headers, responseFramed));
	}

	private void readHead(int status, List<HttpHeader> headers, boolean responseFramed) {
		if (this.ignored) {
			return;
		}
		long nowMs = this.dispatcher.nowMs();
		ResponseHead response = this.dispatcher.format().readResponseHead(status, headers);
		this.head = response;
		this.framed = responseFramed;
		// A response with another id, or none, may be a late copy of the response to an
		// earlier request. It proves nothing about this one, even if it is a refusal.
		boolean matchesRequest = response.attemptId().equals(this.request.input().head().attemptId());
		if (matchesRequest) {
			this.dispatcher.announcements()
				.onHead(this.trackedServer, response, this.request.input().head().attemptId(), this.sentAtMs);
		}
		if (!matchesRequest || response.encoded()) {
			fail(AttemptFailure.FRAMES_BROKEN, true);
			return;
		}
		this.trackedServer.health().onDataReceived(nowMs);
		response.load().ifPresent((load) -> {
			this.trackedServer.onLoadReport(load.running(), load.waiting(), nowMs);
			this.request.onLoad(serverId(), load);
		});
		if (response.notRun() || status == MISDIRECTED) {
			onNotRun(nowMs);
			return;
		}
		if (this.step instanceof KvStep.Prefill) {
			return;
		}
		if (!this.request.canDeliver(response)) {
			countRun(nowMs);
			if (status >= FIRST_SERVER_ERROR) {
				this.trackedServer.health().onFailed();
			}
			fail(AttemptFailure.SERVER_CRASHED, response.isSuccess());
			return;
		}
		if (status >= FIRST_SERVER_ERROR) {
			countRun(nowMs);
			this.trackedServer.health().onFailed();
			if (this.request.retryAfterError(this)) {
				ignoreRest();
			}
		}
		else if (response.isSuccess() && !response.signed()) {
			fail(AttemptFailure.FRAMES_BROKEN, true);
		}
		else if (response.isSuccess() && this.request.input().route().isStream()) {
			this.request.onStreamHead(this, response);
		}
	}

	private void onNotRun(long nowMs) {
		this.send.onRefused();
		boolean misdirected = this.head != null && this.head.status() == MISDIRECTED;
		if (misdirected) {
			// 421 Misdirected Request: the address now belongs to another server or to a
			// restarted instance of this one.
			this.trackedServer.health().onConnectionFailure(nowMs);
		}
		else {
			this.trackedServer.window().onRejected(this.request.input().route().targetMs(), nowMs);
		}
		if (this.call != null && !this.call.isRequestWritten()) {
			// The server might still run what it gets after its refusal.
			cancel();
		}
		else {
			ignoreRest();
		}
		this.request.onNotRun(this, misdirected ? AttemptFailure.SERVER_UNREACHABLE : AttemptFailure.SERVER_FULL, true);
	}

	private void guard(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException | Error ex) {
			this.request.endUnexpectedly(this, ex);
		}
	}

	/**
	 * Ends the attempt after an unexpected exception. Counts the run if the server's
	 * response shows one.
	 */
	void endUnexpectedly() {
		boolean answered = this.head != null && !this.head.notRun() && this.head.status() != MISDIRECTED
				&& !(this.step instanceof KvStep.Prefill);
		UnexpectedExceptions.runAll(() -> {
			if (answered) {
				countRun(this.dispatcher.nowMs());
			}
		}, this::cancel, this::end, this::releaseMemory);
	}

	private void skip(int bytes) {
		this.skippedBytes += bytes;
		if (this.skippedBytes > MAX_SKIPPED_BYTES && this.call != null) {
			this.call.cancel();
		}
	}

	// Ignores the rest of the response. Unless it is long, it is still read, so that the
	// connection can be reused.
	private void ignoreRest() {
		this.ignored = true;
		end();
		releaseMemory();
	}

	/**
	 * Fails the attempt because the server's response is not valid.
	 */
	void failBroken() {
		fail(AttemptFailure.FRAMES_BROKEN, true);
	}

	private void fail(AttemptFailure failure, boolean broken) {
		cancel();
		if (broken) {
			this.trackedServer.health().onConnectionFailure(this.dispatcher.nowMs());
		}
		this.request.onFailed(this, failure);
	}

	/**
	 * Returns the attempt whose engine computes the KV cache of the prompt.
	 * @return the prefill attempt if this attempt fetches the KV cache, otherwise this
	 * attempt
	 */
	private ServerAttempt promptAttempt() {
		return (this.prefill != null) ? this.prefill : this;
	}

	private void countRun(long nowMs) {
		if (this.runCounted) {
			return;
		}
		this.runCounted = true;
		this.request.input().workspace().ifPresent(this.dispatcher.runs()::onRunStarted);
		this.dispatcher.serviceState(this.request.input().service())
			.retryAfter()
			.onDone(this.uncachedTokens + 1, nowMs);
	}

	/**
	 * Records the first event of a stream or a complete response: adjusts the server's
	 * health, prompt window and cached prompt parts, counts the run, and places queued
	 * requests.
	 */
	void onFirstResult() {
		long nowMs = this.dispatcher.nowMs();
		this.trackedServer.health().onResponse(elapsedMs());
		this.observerDelayAtEventMs = this.trackedServer.observerDelayMs();
		this.request.input().head().prompt().ifPresent((prompt) -> {
			this.trackedServer.onPromptPrefilled(prompt.sharedParts());
			if (promptAttempt().isTimeKnown() && isTimeKnown()) {
				promptAttempt().trackedServer.window()
					.onFirstEvent(promptAttempt().uncachedTokens, promptAttempt().elapsedMs(),
							this.request.input().route().targetMs(), nowMs);
			}
		});
		this.request.onPromptPrefilled();
		countRun(nowMs);
		releasePrompt();
		this.dispatcher.onCapacityFreed(this.request.input().service());
	}

	/**
	 * Records that the server has sent its whole response, which shows that the request
	 * does not crash it. The first event of a stream shows nothing, since the server may
	 * crash after it.
	 */
	void onWholeResponse() {
		if (this.head != null && this.head.isSuccess()) {
			this.dispatcher.suspects().onAnswered(this.trackedServer.server(), this.request.input().subjects());
		}
	}

	/**
	 * Records a pause between two events of the stream.
	 * @param pauseMs duration of the pause
	 */
	void onPause(long pauseMs) {
		long nowMs = this.dispatcher.nowMs();
		int slots = this.trackedServer.server().slots();
		boolean delayed = this.trackedServer.observerDelayMs() != this.observerDelayAtEventMs;
		this.observerDelayAtEventMs = this.trackedServer.observerDelayMs();
		if (!delayed) {
			this.trackedServer.generationLimit()
				.onPause(pauseMs, this.request.input().route().pauseTargetMs(),
						this.trackedServer.occupancy(nowMs, EnginePlacer.MAX_RUNNING_AGE_MS), slots, nowMs);
		}
	}

	@Override
	public void onData(ByteBuffer data) {
		guard(() -> readData(data));
	}

	private void readData(ByteBuffer data) {
		if (this.ignored) {
			skip(data.remaining());
			return;
		}
		this.trackedServer.health().onDataReceived(this.dispatcher.nowMs());
		if (this.request.isStreamAttempt(this)) {
			this.request.onStreamData(this, data);
			return;
		}
		BodyBuffer.Result result = this.bufferedBody.add(data);
		if (result != BodyBuffer.Result.ADDED) {
			LOGGER.atWarn()
				.addKeyValue("request_id", this.request.input().head().attemptId())
				.addKeyValue("server", serverId())
				.addKeyValue("read_bytes", this.bufferedBody.sizeBytes())
				.addKeyValue("reason", result)
				.log("Response is not buffered any further; its connection is closed");
			fail(AttemptFailure.ANSWER_CUT, false);
		}
	}

	/**
	 * Gives back the memory of the response. Called when it has been sent to the caller,
	 * or will not be sent.
	 */
	void releaseMemory() {
		this.bufferedBody.release();
	}

	@Override
	public void onEnd() {
		guard(this::readEnd);
	}

	private void readEnd() {
		if (this.ignored) {
			return;
		}
		ResponseHead response = this.head;
		if (response == null) {
			fail(AttemptFailure.FRAMES_BROKEN, true);
			return;
		}
		if (this.step instanceof KvStep.Prefill) {
			onPrefillEnd(response);
			return;
		}
		if (this.request.isStreamAttempt(this)) {
			end();
			this.request.onStreamEnd(this);
			return;
		}
		onFirstResult();
		onWholeResponse();
		end();
		this.request.onCompleteResponse(this, response, this.bufferedBody.take());
	}

	private byte[] takeBody() {
		byte[] body = this.bufferedBody.take();
		releaseMemory();
		return body;
	}

	private void onPrefillEnd(ResponseHead response) {
		if (!response.isSuccess()) {
			fail(AttemptFailure.SERVER_CRASHED, false);
			return;
		}
		PromptShape prompt = this.request.input().head().prompt().orElseThrow();
		this.trackedServer.health().onResponse(elapsedMs());
		this.trackedServer.onPromptPrefilled(prompt.sharedParts());
		this.request.onPromptPrefilled();
		end();
		this.dispatcher.format()
			.readHandle(takeBody())
			.ifPresentOrElse(this::onHandle, () -> this.request.onFailed(this, AttemptFailure.FRAMES_BROKEN));
		this.dispatcher.onCapacityFreed(this.request.input().service());
	}

	private void onHandle(String handle) {
		this.send.onPrefilled();
		this.request.onPrefilled(this, this.trackedServer.server().address(), handle);
	}

	@Override
	public void onFailure(boolean sent, IOException cause) {
		if (this.ignored) {
			return;
		}
		if (sent && cause instanceof UnexpectedCallException) {
			this.request.endUnexpectedly(this, cause);
			return;
		}
		guard(() -> fail(sent));
	}

	private void fail(boolean sent) {
		this.ignored = true;
		end();
		releaseMemory();
		this.trackedServer.health().onConnectionFailure(this.dispatcher.nowMs());
		if (!sent) {
			this.request.onNotRun(this, AttemptFailure.SERVER_UNREACHABLE, false);
			return;
		}
		if (!isLeaving()) {
			this.dispatcher.suspects().onConnectionLost(this.trackedServer.server(), this.request.input().subjects());
		}
		this.request.onFailed(this, AttemptFailure.SERVER_CRASHED);
	}

	private boolean isLeaving() {
		return this.trackedServer.server().draining() || this.trackedServer.availability().isLeaving();
	}

	private void releasePrompt() {
		if (!this.promptReleased) {
			long nowMs = this.dispatcher.nowMs();
			this.promptReleased = true;
			this.trackedServer.window().onSettled(this.uncachedTokens, nowMs);
		}
	}

	private void end() {
		releasePrompt();
		if (!this.ended) {
			this.ended = true;
			this.trackedServer.onEnded();
		}
	}

}
