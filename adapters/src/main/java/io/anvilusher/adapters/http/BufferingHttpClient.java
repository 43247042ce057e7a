package io.anvilusher.adapters.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;

import io.anvilusher.model.request.HttpHeader;

/**
 * Makes calls and buffers each response in memory. It is meant for small responses.
 */
public final class BufferingHttpClient {

	/** Largest response body where the caller names none: a long part of a log. */
	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private final StreamingHttpClient client;

	/**
	 * Creates an instance.
	 * @param client client that makes the calls
	 */
	public BufferingHttpClient(StreamingHttpClient client) {
		this.client = client;
	}

	/**
	 * Makes a call whose response may be as long as a part of a log.
	 * @param call the call
	 * @param timeoutMs maximum time until the end of the response, in ms; the call is
	 * cancelled after it
	 * @return the response; completes exceptionally with an {@link IOException}
	 */
	public CompletableFuture<HttpCallResponse> call(HttpCall call, long timeoutMs) {
		return call(call, timeoutMs, MAX_BODY_BYTES);
	}

	/**
	 * Makes a call.
	 * @param call the call
	 * @param timeoutMs maximum time until the end of the response, in ms; the call is
	 * cancelled after it
	 * @param maxBodyBytes maximum size of the response body, in bytes; the call is
	 * cancelled beyond it
	 * @return the response; completes exceptionally with an {@link IOException}
	 */
	public CompletableFuture<HttpCallResponse> call(HttpCall call, long timeoutMs, int maxBodyBytes) {
		ResponseCollector collector = new ResponseCollector(new BodyBuffer(maxBodyBytes, this.client.memory().open()));
		RunningCall running = this.client.start(call, collector);
		collector.rejected.thenRun(running::cancel);
		try {
			Runnable cancelTimeout = this.client.afterReading(timeoutMs, () -> {
				if (!collector.response.isDone()) {
					collector.response
						.completeExceptionally(new IOException("No response within " + timeoutMs + " ms"));
					running.cancel();
				}
			});
			collector.response.whenComplete((response, failure) -> cancelTimeout.run());
		}
		catch (RejectedExecutionException ex) {
			collector.response.completeExceptionally(new IOException("The client is closed", ex));
		}
		return collector.response;
	}

	private static final class ResponseCollector implements HttpCallListener {

		private final CompletableFuture<HttpCallResponse> response = new CompletableFuture<>();

		private final CompletableFuture<Void> rejected = new CompletableFuture<>();

		private final BodyBuffer body;

		private int status;

		private List<HttpHeader> headers = List.of();

		ResponseCollector(BodyBuffer body) {
			this.body = body;
		}

		@Override
		public void onHead(int responseStatus, List<HttpHeader> responseHeaders, boolean framed) {
			this.status = responseStatus;
			this.headers = responseHeaders;
		}

		@Override
		public void onData(ByteBuffer data) {
			if (this.response.isDone()) {
				data.position(data.limit());
				return;
			}
			int sizeBytes = this.body.sizeBytes() + data.remaining();
			BodyBuffer.Result result = this.body.add(data);
			if (result != BodyBuffer.Result.ADDED) {
				this.body.release();
				this.response.completeExceptionally(
						new IOException("Response of " + sizeBytes + " bytes or more is rejected: " + result));
				this.rejected.complete(null);
			}
		}

		@Override
		public void onEnd() {
			byte[] complete = this.body.take();
			this.body.release();
			this.response.complete(new HttpCallResponse(this.status, this.headers, complete));
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			this.body.release();
			this.response.completeExceptionally(cause);
		}

	}

}
