package io.anvilusher.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.adapters.http.RunningCall;

/**
 * A call whose every event a test chooses, and what its engine may have done. It keeps
 * the promises of the HTTP client: after a failure as not sent, a cancellation or the end
 * of the response, nothing is written.
 */
final class ModelCall implements RunningCall {

	private final String name;

	private final HttpCall call;

	private final HttpCallListener listener;

	private final ModelEngine engine;

	private final boolean prefill;

	private Upload upload = Upload.CONNECTING;

	private @Nullable EngineAnswer answer;

	private @Nullable EngineAnswer shown;

	private int eventsLeft;

	private boolean paused;

	private boolean cancelled;

	private boolean closed;

	ModelCall(String name, HttpCall call, HttpCallListener listener, ModelEngine engine) {
		this.name = name;
		this.call = call;
		this.listener = listener;
		this.engine = engine;
		this.prefill = ModelWireFormat.isPrefill(call);
	}

	/**
	 * Returns whether the engine may have run the request, if the prefill step keeps it
	 * from that.
	 * @return whether the whole request may have reached the engine and it has not
	 * promised otherwise
	 */
	boolean mayHaveRun() {
		return !this.prefill && this.upload == Upload.WHOLE && (this.answer == null || !this.answer.provesNotRun());
	}

	/**
	 * Returns whether the engine may have run the request, if an engine that does not
	 * answer a prefill as one may have taken it for a complete request.
	 * @return whether it may have run
	 */
	boolean mayHaveRunStrictly() {
		return mayHaveRun()
				|| (this.prefill && this.upload == Upload.WHOLE && this.answer != null && !this.answer.fitsPrefill());
	}

	/**
	 * Returns what can happen next.
	 * @param onBytes runs when bytes of the request leave
	 * @return the possible events
	 */
	List<ScheduleAction> actions(Runnable onBytes) {
		List<ScheduleAction> actions = new ArrayList<>();
		if (this.closed) {
			return actions;
		}
		if (this.upload == Upload.CONNECTING) {
			addConnecting(actions);
			return actions;
		}
		addUpload(actions, onBytes);
		if (this.shown == null) {
			addAnswers(actions);
		}
		else if (!this.paused) {
			add(actions, (this.eventsLeft > 0) ? "next part of the answer" : "end of the answer", this::continueAnswer);
		}
		add(actions, "connection is reset", ScheduleAction.UNUSUAL, () -> fail(true, "reset"));
		return actions;
	}

	private void addConnecting(List<ScheduleAction> actions) {
		if (this.cancelled) {
			add(actions, "connection of the cancelled call opens", () -> fail(false, "cancelled"));
			return;
		}
		add(actions, "connection opens", () -> {
			this.upload = Upload.OPEN;
			this.listener.onSending();
		});
		add(actions, "connection fails or times out", ScheduleAction.UNUSUAL, () -> fail(false, "no connection"));
	}

	private void addUpload(List<ScheduleAction> actions, Runnable onBytes) {
		if (this.upload == Upload.OPEN) {
			add(actions, "head and part of the body leave", () -> write(Upload.PART, onBytes));
		}
		if (this.upload != Upload.WHOLE) {
			add(actions, "whole request has left", () -> write(Upload.WHOLE, onBytes));
		}
	}

	private void write(Upload next, Runnable onBytes) {
		this.upload = next;
		onBytes.run();
	}

	private void addAnswers(List<ScheduleAction> actions) {
		if (!this.call.ownConnection()) {
			this.engine.lateCopy().ifPresent((copy) -> add(actions, "late second answer " + copy, () -> {
				this.engine.takeLateCopy();
				show(copy);
			}));
		}
		if (this.upload != Upload.OPEN) {
			EngineAnswer.to(this.prefill).forEach((given) -> add(actions, "answer " + given, weight(given), () -> {
				this.answer = given;
				show(given);
			}));
		}
	}

	private void show(EngineAnswer head) {
		this.shown = head;
		this.eventsLeft = head.events();
		this.listener.onHead(head.status(), ModelWireFormat.headers(head), true);
	}

	private void continueAnswer() {
		if (this.eventsLeft > 0) {
			int event = this.shown.events() - this.eventsLeft;
			this.eventsLeft--;
			this.listener.onData(text("id: " + event + "\ndata: x\n\n"));
			return;
		}
		this.closed = true;
		if (this.upload == Upload.WHOLE) {
			this.engine.keep(this.shown);
		}
		if (this.shown == EngineAnswer.HANDLE) {
			this.listener.onData(text("handle"));
		}
		this.listener.onEnd();
	}

	private static ByteBuffer text(String text) {
		return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
	}

	private void fail(boolean sent, String cause) {
		this.closed = true;
		this.listener.onFailure(sent, new IOException(cause));
	}

	private static int weight(EngineAnswer given) {
		return (given == EngineAnswer.HANDLE || given == EngineAnswer.RESULT) ? ScheduleAction.USUAL
				: ScheduleAction.UNUSUAL;
	}

	private void add(List<ScheduleAction> actions, String event, Runnable step) {
		add(actions, event, ScheduleAction.USUAL, step);
	}

	private void add(List<ScheduleAction> actions, String event, int weight, Runnable step) {
		actions.add(new ScheduleAction(this.name + ": " + event, weight, step));
	}

	@Override
	public void pause() {
		this.paused = true;
	}

	@Override
	public void resume() {
		this.paused = false;
	}

	@Override
	public boolean isRequestWritten() {
		return this.upload == Upload.WHOLE;
	}

	@Override
	public void cancel() {
		this.cancelled = true;
		if (!this.closed && this.upload != Upload.CONNECTING) {
			fail(true, "cancelled");
		}
	}

	private enum Upload {

		/** There is no connection yet. */
		CONNECTING,

		/** The connection is open, and nothing has left. */
		OPEN,

		/** Some bytes have left. */
		PART,

		/** All bytes have left. */
		WHOLE

	}

	/**
	 * An engine and its kept connection.
	 */
	static final class ModelEngine {

		private Optional<EngineAnswer> kept = Optional.empty();

		private void keep(EngineAnswer answer) {
			this.kept = Optional.of(answer);
		}

		private Optional<EngineAnswer> lateCopy() {
			return this.kept;
		}

		private void takeLateCopy() {
			this.kept = Optional.empty();
		}

	}

}
