package io.anvilusher.sidecar.attempt;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.adapters.http.RunningCall;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.logic.request.TokenStreamScanner;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.protocol.generated.PeerMessages.AnswerChunk;
import io.anvilusher.protocol.generated.PeerMessages.AnswerEnd;
import io.anvilusher.protocol.generated.PeerMessages.AnswerHead;
import io.anvilusher.protocol.generated.PeerMessages.AttemptFailed;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;
import io.anvilusher.protocol.generated.PeerMessages.AttemptVerdict;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Header;
import io.anvilusher.protocol.transport.PeerConnection;

/**
 * One attempt on the backend server. Forwards the response to the entry within the credit
 * that the entry has granted, and then reports either the end of the response or a
 * failure.
 */
final class RunningAttempt implements HttpCallListener {

	/**
	 * Largest response body that is retained for entries that query the outcome of the
	 * attempt.
	 */
	private static final int MAX_RETAINED_BODY_BYTES = 64 * 1024;

	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "transfer-encoding",
			"content-length", "upgrade", "trailer", "te", "proxy-authenticate");

	private final AttemptStart start;

	private final PeerConnection connection;

	private final Consumer<Ended> onEnded;

	private final TokenStreamScanner scanner = new TokenStreamScanner();

	private final ByteArrayOutputStream retainedBody = new ByteArrayOutputStream();

	private volatile @Nullable RunningCall call;

	private volatile Runnable cancelDeadline = () -> {
	};

	private Optional<AttemptFailure> abortReason = Optional.empty();

	private int status;

	private List<Header> headers = List.of();

	private boolean framed;

	private long credit;

	private boolean pausedForCredit;

	private int chunkCount;

	private long byteCount;

	private boolean ended;

	RunningAttempt(AttemptStart start, PeerConnection connection, Consumer<Ended> onEnded) {
		this.start = start;
		this.connection = connection;
		this.onEnded = onEnded;
		this.credit = start.getInitialCreditBytes();
	}

	void begin(StreamingHttpClient client, URI backend) {
		List<HttpHeader> requestHeaders = this.start.getHeadersList()
			.stream()
			.map((header) -> new HttpHeader(header.getName(), header.getValue()))
			.toList();
		// A response does not name its request. On a kept connection, a late answer to an
		// earlier request would be taken for the answer to this one.
		RunningCall running = client.start(new HttpCall(this.start.getMethod(), backend, this.start.getPath(),
				requestHeaders, this.start.getBody().toByteArray(), true), this);
		this.call = running;
		this.cancelDeadline = client.after(this.start.getDeadlineMs(), () -> abort(AttemptFailure.TIMED_OUT));
		synchronized (this) {
			if (this.abortReason.isEmpty()) {
				return;
			}
		}
		running.cancel();
	}

	AttemptStart start() {
		return this.start;
	}

	PeerConnection connection() {
		return this.connection;
	}

	/**
	 * Aborts the attempt. Has no effect once the attempt has ended.
	 * @param reason reason that is reported to the entry
	 */
	void abort(AttemptFailure reason) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.abortReason = Optional.of(reason);
		}
		RunningCall running = this.call;
		if (running != null) {
			running.cancel();
		}
	}

	synchronized void addCredit(int bytes) {
		this.credit += bytes;
		if (this.pausedForCredit && this.credit > 0 && this.call != null) {
			this.pausedForCredit = false;
			this.call.resume();
		}
	}

	@Override
	public synchronized void onHead(int responseStatus, List<HttpHeader> responseHeaders, boolean responseFramed) {
		this.status = responseStatus;
		this.framed = responseFramed;
		this.headers = responseHeaders.stream()
			.filter((header) -> !HOP_BY_HOP_HEADERS.contains(header.name().toLowerCase(Locale.ROOT)))
			.map((header) -> Header.newBuilder().setName(header.name()).setValue(header.value()).build())
			.toList();
		send(Frame.newBuilder()
			.setAnswerHead(AnswerHead.newBuilder()
				.setAttemptId(this.start.getAttemptId())
				.setStatus(responseStatus)
				.addAllHeaders(this.headers)));
	}

	@Override
	public synchronized void onData(ByteBuffer data) {
		this.scanner.scan(data);
		ByteString bytes = ByteString.copyFrom(data);
		if (!this.start.getRepeatable() && this.retainedBody.size() + bytes.size() <= MAX_RETAINED_BODY_BYTES) {
			this.retainedBody.writeBytes(bytes.toByteArray());
		}
		send(Frame.newBuilder()
			.setAnswerChunk(AnswerChunk.newBuilder()
				.setAttemptId(this.start.getAttemptId())
				.setSequence(this.chunkCount)
				.setData(bytes)));
		this.chunkCount++;
		this.byteCount += bytes.size();
		this.credit -= bytes.size();
		if (this.credit <= 0 && this.call != null) {
			this.pausedForCredit = true;
			this.call.pause();
		}
	}

	@Override
	public void onEnd() {
		this.scanner.finish();
		if (!isComplete()) {
			fail(false, AttemptFailure.ANSWER_CUT, "The backend server's answer was not whole");
			return;
		}
		AnswerEnd end = AnswerEnd.newBuilder()
			.setAttemptId(this.start.getAttemptId())
			.setChunkCount(this.chunkCount)
			.setByteCount(this.byteCount)
			.setPromptTokens(this.scanner.promptTokens())
			.setOutputTokens(this.scanner.outputTokens())
			.build();
		finish(Frame.newBuilder().setAnswerEnd(end), responseVerdict(), Optional.empty());
	}

	private boolean isComplete() {
		boolean stream = this.start.getTokenStream() && this.status == 200;
		return this.framed && (!stream || this.scanner.ended());
	}

	private AttemptVerdict responseVerdict() {
		boolean bodyKept = this.retainedBody.size() == this.byteCount;
		return AttemptVerdict.newBuilder()
			.setAttemptId(this.start.getAttemptId())
			.setState(AttemptVerdict.State.ANSWERED)
			.setStatus(this.status)
			.addAllHeaders(this.headers)
			.setBody(bodyKept ? ByteString.copyFrom(this.retainedBody.toByteArray()) : ByteString.EMPTY)
			.setBodyKept(bodyKept)
			.build();
	}

	@Override
	public void onFailure(boolean sent, IOException cause) {
		AttemptFailure reason = this.abortReason
			.orElse(sent ? AttemptFailure.SERVER_CRASHED : AttemptFailure.SERVER_UNREACHABLE);
		fail(!sent, reason, String.valueOf(cause.getMessage()));
	}

	private void fail(boolean notRun, AttemptFailure reason, String detail) {
		this.scanner.finish();
		AttemptFailed failed = AttemptFailed.newBuilder()
			.setAttemptId(this.start.getAttemptId())
			.setNotRun(notRun)
			.setReason(reason.name())
			.setDetail(detail)
			.setPromptTokens(this.scanner.promptTokens())
			.setOutputTokens(this.scanner.outputTokens())
			.build();
		AttemptVerdict verdict = AttemptVerdict.newBuilder()
			.setAttemptId(this.start.getAttemptId())
			.setState(notRun ? AttemptVerdict.State.NEVER_STARTED : AttemptVerdict.State.FAILED)
			.build();
		finish(Frame.newBuilder().setAttemptFailed(failed), verdict, Optional.of(reason));
	}

	private void finish(Frame.Builder frame, AttemptVerdict verdict, Optional<AttemptFailure> failure) {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		this.cancelDeadline.run();
		// The outcome is stored before it is sent, so that a query that follows the
		// response finds it.
		this.onEnded.accept(new Ended(this, verdict, failure));
		send(frame);
	}

	private void send(Frame.Builder frame) {
		this.connection.send(frame.build());
	}

	/**
	 * Outcome of an attempt that has ended.
	 *
	 * @param attempt the attempt
	 * @param verdict reply to later queries about the attempt
	 * @param failure why the attempt failed, or empty if it got a response
	 */
	record Ended(RunningAttempt attempt, AttemptVerdict verdict, Optional<AttemptFailure> failure) {

	}

}
