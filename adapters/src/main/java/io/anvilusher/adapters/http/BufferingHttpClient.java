package io.anvilusher.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.anvilusher.model.request.HttpHeader;

/**
 * Makes calls and buffers each response in memory. It is meant for small responses.
 */
public final class BufferingHttpClient {

	/** Largest response body: several times the largest page of a store's table. */
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
	 * Makes a call.
	 * @param call the call
	 * @param timeoutMs maximum time until the end of the response, in ms; the call is
	 * cancelled after it
	 * @return the response; completes exceptionally with an {@link IOException}
	 */
	public CompletableFuture<HttpCallResponse> call(HttpCall call, long timeoutMs) {
		ResponseCollector collector = new ResponseCollector();
		RunningCall running = this.client.start(call, collector);
		collector.tooLong.thenRun(running::cancel);
		Runnable cancelTimeout = this.client.afterReading(timeoutMs, () -> {
			if (!collector.response.isDone()) {
				collector.response.completeExceptionally(new IOException("No response within " + timeoutMs + " ms"));
				running.cancel();
			}
		});
		collector.response.whenComplete((response, failure) -> cancelTimeout.run());
		return collector.response;
	}

	private static final class ResponseCollector implements HttpCallListener {

		private final CompletableFuture<HttpCallResponse> response = new CompletableFuture<>();

		private final CompletableFuture<Void> tooLong = new CompletableFuture<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int status;

		private List<HttpHeader> headers = List.of();

		@Override
		public void onHead(int responseStatus, List<HttpHeader> responseHeaders, boolean framed) {
			this.status = responseStatus;
			this.headers = responseHeaders;
		}

		@Override
		public void onData(ByteBuffer data) {
			if (this.body.size() + data.remaining() > MAX_BODY_BYTES) {
				this.response.completeExceptionally(new IOException("Response exceeds " + MAX_BODY_BYTES + " bytes"));
				this.tooLong.complete(null);
				return;
			}
			byte[] bytes = new byte[data.remaining()];
			data.get(bytes);
			this.body.writeBytes(bytes);
		}

		@Override
		public void onEnd() {
			this.response.complete(new HttpCallResponse(this.status, this.headers, this.body.toByteArray()));
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			this.response.completeExceptionally(cause);
		}

	}

}
