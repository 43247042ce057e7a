package io.anvilusher.gateway.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.OptionalInt;

import org.jspecify.annotations.Nullable;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.adapters.http.RunningCall;
import io.anvilusher.gateway.wire.KvStep;
import io.anvilusher.gateway.wire.ServerHead;
import io.anvilusher.gateway.wire.ServerSend;
import io.anvilusher.logic.placement.ServerTrack;
import io.anvilusher.model.request.AnswerHeader;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.PromptShape;

/**
 * One sending of a request to one server. It keeps the server's track up to date and
 * tells the request what came.
 */
final class ServerAttempt implements HttpCallListener {

	private static final int MISDIRECTED = 421;

	private static final int FIRST_SERVER_ERROR = 500;

	/** Largest answer that is held until it is whole, in bytes. */
	private static final int MAX_HELD_BYTES = 8 * 1024 * 1024;

	private final Dispatcher dispatcher;

	private final GatewayRequest request;

	private final ServerTrack track;

	private final int uncachedTokens;

	private final KvStep step;

	private final @Nullable ServerAttempt prefill;

	private final long sentAtMs;

	private final ByteArrayOutputStream held = new ByteArrayOutputStream(0);

	private @Nullable RunningCall call;

	private @Nullable ServerHead head;

	private boolean sending;

	private boolean settled;

	private boolean ended;

	private boolean detached;

	private boolean begun;

	ServerAttempt(Dispatcher dispatcher, GatewayRequest request, ServerTrack track, int uncachedTokens, KvStep step,
			@Nullable ServerAttempt prefill) {
		this.prefill = prefill;
		this.dispatcher = dispatcher;
		this.request = request;
		this.track = track;
		this.uncachedTokens = uncachedTokens;
		this.step = step;
		this.sentAtMs = dispatcher.nowMs();
	}

	void start() {
		RequestInput input = this.request.input();
		this.track.onSent(this.sentAtMs);
		this.track.window().onSent(this.uncachedTokens, this.sentAtMs);
		OptionalInt urgency = input.head().prompt().map(this::urgency).orElseGet(OptionalInt::empty);
		ServerSend send = new ServerSend(serverId(), Math.max(1, input.deadlineMs() - this.sentAtMs), input.workspace(),
				urgency, this.request.resumeAfter(), this.step);
		List<AnswerHeader> headers = this.dispatcher.format().toServer(input.exchange().getRequestHeaders(), send);
		HttpCall httpCall = new HttpCall(input.exchange().getRequestMethod().toString(),
				URI.create("http://" + this.track.server().address()), input.path(), headers, input.body(), false);
		this.call = this.dispatcher.client().start(httpCall, this);
	}

	// A short prompt delays a long one by little; a long one delays a short one by much.
	private OptionalInt urgency(PromptShape prompt) {
		return OptionalInt.of((prompt.promptTokens() < GatewayRequest.SHORT_PROMPT_TOKENS) ? 1 : 4);
	}

	String serverId() {
		return this.track.server().id();
	}

	KvStep step() {
		return this.step;
	}

	@Nullable ServerAttempt prefill() {
		return this.prefill;
	}

	/**
	 * Returns the engine that read the prompt.
	 * @return the engine of the attempt before, if this one fetches the KV cache
	 */
	ServerTrack source() {
		return reader().track;
	}

	boolean mayHaveRun() {
		return this.sending && !(this.step instanceof KvStep.Prefill);
	}

	long elapsedMs() {
		return this.dispatcher.nowMs() - this.sentAtMs;
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
	 * Breaks the attempt off; nothing more is told to the request.
	 */
	void cancel() {
		this.detached = true;
		end();
		if (this.call != null) {
			this.call.cancel();
		}
	}

	@Override
	public void onSending() {
		this.sending = true;
	}

	@Override
	public void onHead(int status, List<AnswerHeader> headers, boolean framed) {
		if (this.detached) {
			return;
		}
		long nowMs = this.dispatcher.nowMs();
		ServerHead answer = this.dispatcher.format().readServer(status, headers);
		this.head = answer;
		boolean own = answer.attemptId().equals(this.request.input().head().attemptId())
				|| (answer.attemptId().isEmpty() && answer.notRun());
		if (!own || answer.encoded()) {
			fail(AttemptFailure.FRAMES_BROKEN, true);
			return;
		}
		this.track.health().onHeard(nowMs);
		answer.load().ifPresent((load) -> this.track.onLoadReport(load.running(), load.waiting(), nowMs));
		if (answer.notRun() || status == MISDIRECTED) {
			onNotRun(nowMs);
			return;
		}
		if (this.step instanceof KvStep.Prefill) {
			return;
		}
		if (status >= FIRST_SERVER_ERROR) {
			onBegun(nowMs);
			this.track.health().onFailed();
			if (this.request.retryAfterError(this)) {
				detach();
			}
		}
		else if (answer.isSuccess() && !answer.signed()) {
			fail(AttemptFailure.FRAMES_BROKEN, true);
		}
		else if (answer.isSuccess() && this.request.input().route().isStream()) {
			this.request.onStreamHead(this, answer);
		}
	}

	private void onNotRun(long nowMs) {
		boolean misdirected = this.head != null && this.head.status() == MISDIRECTED;
		if (misdirected) {
			// Another server, or another life of this one, has its address.
			this.track.health().onBroken(nowMs);
		}
		else {
			this.track.window().onRejected(this.request.input().route().targetMs(), nowMs);
		}
		detach();
		this.request.onNotRun(this, misdirected ? AttemptFailure.SERVER_UNREACHABLE : AttemptFailure.SERVER_FULL, true);
	}

	// The rest of the answer is read, so that the connection can serve another request.
	private void detach() {
		this.detached = true;
		end();
	}

	private void fail(AttemptFailure failure, boolean broken) {
		cancel();
		if (broken) {
			this.track.health().onBroken(this.dispatcher.nowMs());
		}
		this.request.onFailed(this, failure);
	}

	/**
	 * Returns the attempt that had the prompt read.
	 * @return the attempt before, if this one fetches the KV cache
	 */
	private ServerAttempt reader() {
		return (this.prefill != null) ? this.prefill : this;
	}

	private void onBegun(long nowMs) {
		if (this.begun) {
			return;
		}
		this.begun = true;
		this.request.input().workspace().ifPresent(this.dispatcher.runs()::onBegun);
		this.dispatcher.desk(this.request.input().service()).returns().onDone(this.uncachedTokens + 1, nowMs);
	}

	/**
	 * Notes the first event of a stream, or a whole answer.
	 */
	void onFirstResult() {
		long nowMs = this.dispatcher.nowMs();
		this.track.health().onAnswered(elapsedMs());
		this.request.input().head().prompt().ifPresent((prompt) -> {
			this.track.onRead(prompt.sharedParts());
			reader().track.window()
				.onFirstEvent(reader().uncachedTokens, reader().elapsedMs(), this.request.input().route().targetMs(),
						nowMs);
		});
		onBegun(nowMs);
		settle();
		this.dispatcher.onRoom(this.request.input().service());
	}

	@Override
	public void onData(ByteBuffer data) {
		if (this.detached) {
			return;
		}
		this.track.health().onHeard(this.dispatcher.nowMs());
		if (this.request.isStreamOf(this)) {
			this.request.onStreamData(this, data);
			return;
		}
		if (this.held.size() + data.remaining() > MAX_HELD_BYTES) {
			fail(AttemptFailure.ANSWER_CUT, false);
			return;
		}
		byte[] bytes = new byte[data.remaining()];
		data.get(bytes);
		this.held.writeBytes(bytes);
	}

	@Override
	public void onEnd() {
		if (this.detached) {
			return;
		}
		ServerHead answer = this.head;
		if (answer == null) {
			fail(AttemptFailure.FRAMES_BROKEN, true);
			return;
		}
		if (this.step instanceof KvStep.Prefill) {
			onPrefillEnd(answer);
			return;
		}
		if (this.request.isStreamOf(this)) {
			end();
			this.request.onStreamEnd(this);
			return;
		}
		onFirstResult();
		end();
		this.request.onWhole(this, answer, this.held.toByteArray());
	}

	private void onPrefillEnd(ServerHead answer) {
		if (!answer.isSuccess()) {
			fail(AttemptFailure.SERVER_CRASHED, false);
			return;
		}
		PromptShape prompt = this.request.input().head().prompt().orElseThrow();
		this.track.health().onAnswered(elapsedMs());
		this.track.onRead(prompt.sharedParts());
		end();
		this.dispatcher.format()
			.readHandle(this.held.toByteArray())
			.ifPresentOrElse((handle) -> this.request.onPrefilled(this, this.track.server().address(), handle),
					() -> this.request.onFailed(this, AttemptFailure.FRAMES_BROKEN));
		this.dispatcher.onRoom(this.request.input().service());
	}

	@Override
	public void onFailure(boolean sent, IOException cause) {
		if (this.detached) {
			return;
		}
		this.detached = true;
		end();
		this.track.health().onBroken(this.dispatcher.nowMs());
		if (!sent) {
			this.request.onNotRun(this, AttemptFailure.SERVER_UNREACHABLE, false);
			return;
		}
		this.request.onFailed(this, AttemptFailure.SERVER_CRASHED);
	}

	private void settle() {
		if (!this.settled) {
			this.settled = true;
			this.track.window().onSettled(this.uncachedTokens, this.dispatcher.nowMs());
		}
	}

	private void end() {
		settle();
		if (!this.ended) {
			this.ended = true;
			this.track.onEnded();
		}
	}

}
