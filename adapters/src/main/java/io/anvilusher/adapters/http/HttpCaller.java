package io.anvilusher.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.model.request.AnswerHeader;

/**
 * Makes calls whose answers are small enough to hold in memory.
 */
public final class HttpCaller {

	private final StreamingHttpClient client;

	/**
	 * Creates a caller.
	 * @param client the client that makes the calls
	 */
	public HttpCaller(StreamingHttpClient client) {
		this.client = client;
	}

	/**
	 * Makes a call.
	 * @param call the call
	 * @param timeoutMs longest time from now to the answer's end
	 * @return the answer, or an {@link IOException}
	 */
	public CompletableFuture<HttpAnswer> call(HttpCall call, long timeoutMs) {
		Collector collector = new Collector();
		RunningCall running = this.client.start(call, collector);
		Runnable timeout = this.client.after(timeoutMs, () -> {
			if (!collector.answer.isDone()) {
				collector.answer.completeExceptionally(new IOException("No answer within " + timeoutMs + " ms"));
				running.cancel();
			}
		});
		collector.answer.whenComplete((answer, failure) -> timeout.run());
		return collector.answer;
	}

	private static final class Collector implements HttpCallListener {

		private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private List<AnswerHeader> headers = List.of();

		@Override
		public void onHead(int answerStatus, List<AnswerHeader> answerHeaders, boolean framed) {
			this.status = answerStatus;
			this.headers = answerHeaders;
		}

		@Override
		public void onData(ByteBuffer data) {
			byte[] bytes = new byte[data.remaining()];
			data.get(bytes);
			this.body.writeBytes(bytes);
		}

		@Override
		public void onEnd() {
			this.answer.complete(new HttpAnswer(this.status, this.headers, this.body.toByteArray()));
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			this.answer.completeExceptionally(cause);
		}

	}

}
