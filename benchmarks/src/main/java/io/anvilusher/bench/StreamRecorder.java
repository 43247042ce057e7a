package io.anvilusher.bench;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.ConcurrentHistogram;

import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.model.request.HttpHeader;

/**
 * Measures one token stream and checks that no token is missing, duplicated or out of
 * order.
 */
final class StreamRecorder implements HttpCallListener {

	private final String tag;

	private final int tokens;

	private final Totals totals;

	private final CountDownLatch done;

	private final StringBuilder text = new StringBuilder();

	private final long startedNanos = System.nanoTime();

	private long lastNanos;

	private int status;

	StreamRecorder(String tag, int tokens, Totals totals, CountDownLatch done) {
		this.tag = tag;
		this.tokens = tokens;
		this.totals = totals;
		this.done = done;
	}

	@Override
	public void onHead(int responseStatus, List<HttpHeader> headers, boolean framed) {
		this.status = responseStatus;
	}

	@Override
	public void onData(ByteBuffer data) {
		long nowNanos = System.nanoTime();
		if (this.lastNanos == 0) {
			this.totals.firstToken.recordValue((nowNanos - this.startedNanos) / 1000);
		}
		else {
			this.totals.gap.recordValue((nowNanos - this.lastNanos) / 1000);
		}
		this.lastNanos = nowNanos;
		this.text.append(StandardCharsets.UTF_8.decode(data));
	}

	@Override
	public void onEnd() {
		int expectedToken = 0;
		int from = 0;
		for (int at = this.text.indexOf(this.tag + "-"); at >= 0; at = this.text.indexOf(this.tag + "-", from)) {
			from = at + 1;
			boolean inOrder = this.text.indexOf(this.tag + "-" + expectedToken + " ", at) == at;
			expectedToken = inOrder ? expectedToken + 1 : Integer.MIN_VALUE;
		}
		boolean complete = this.status == 200 && expectedToken == this.tokens && this.text.indexOf("[DONE]") > 0;
		(complete ? this.totals.complete : this.totals.incomplete).incrementAndGet();
		this.done.countDown();
	}

	@Override
	public void onFailure(boolean sent, IOException cause) {
		this.totals.incomplete.incrementAndGet();
		this.done.countDown();
	}

	/**
	 * Results of all streams of a run. The histograms hold the time to the first token
	 * and the gap between two parts of a stream, in microseconds.
	 */
	static final class Totals {

		private final ConcurrentHistogram firstToken = new ConcurrentHistogram(3);

		private final ConcurrentHistogram gap = new ConcurrentHistogram(3);

		private final AtomicInteger complete = new AtomicInteger();

		private final AtomicInteger incomplete = new AtomicInteger();

		ConcurrentHistogram firstToken() {
			return this.firstToken;
		}

		ConcurrentHistogram gap() {
			return this.gap;
		}

		int complete() {
			return this.complete.get();
		}

		int incomplete() {
			return this.incomplete.get();
		}

	}

}
