package io.anvilusher.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.process.Command;
import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.deployment.Deployment;
import io.anvilusher.model.request.HttpHeader;

/**
 * Measures the latency, throughput and memory of the path through entry and sidecar and
 * compares them with direct calls to the backend server. The part of the path behind the
 * entry is measured by calling the sidecar over the peer protocol.
 */
@Parameters(commandDescription = "Latency, throughput and memory of the path, against the engine called directly")
final class PathBench implements Command {

	private static final int SHORT_CALLERS = 16;

	@Parameter(names = "--streams", description = "Streams open at once")
	private int streams = 1000;

	@Parameter(names = "--tokens", description = "Tokens of each stream")
	private int tokens = 60;

	@Parameter(names = "--decode-ms", description = "Time between two tokens at the engine")
	private int decodeMs = 50;

	@Parameter(names = "--seconds", description = "Length of the measurement of short calls")
	private int seconds = 4;

	@Parameter(names = "--rounds", description = "Rounds; direct and through the path take turns")
	private int rounds = 3;

	private final StreamingHttpClient client = StreamingHttpClient.create("bench", 4);

	@Override
	public ExitCode run() {
		try (Deployment deployment = Deployment.start()) {
			deployment.startEngine("model-1", "dc", "model", "0", "true", String.valueOf(this.decodeMs), "0");
			deployment.startPlainService("plain-1", "dc", "plain", 0);
			deployment.startEntry("entry-a", "dc");
			String key = BenchConfiguration.publish(deployment);
			deployment.awaitServers("entry-a", 2);
			measure(deployment, key);
			return ExitCode.OK;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void measure(Deployment deployment, String key) {
		URI engine = URI.create(deployment.backendUrl("model-1"));
		URI plain = URI.create(deployment.backendUrl("plain-1"));
		URI entry = URI.create(deployment.entryUrl("entry-a"));
		InetSocketAddress modelSidecar = new InetSocketAddress("127.0.0.1",
				deployment.process("model-1").ports().get(0));
		InetSocketAddress plainSidecar = new InetSocketAddress("127.0.0.1",
				deployment.process("plain-1").ports().get(0));
		System.out.println("warming up");
		shortCalls(plain, key);
		shortCalls(entry, key);
		runStreams(engine, key);
		runStreams(entry, key);
		long entryIdleMb = ProcessUsage.of(deployment.process("entry-a").pid()).residentMb();
		long sidecarIdleMb = ProcessUsage.of(deployment.process("model-1").pid()).residentMb();
		System.out.printf("%-34s %10s %10s %10s %12s%n", "short calls (16 callers)", "p50 us", "p95 us", "p99 us",
				"requests/s");
		for (int round = 0; round < this.rounds; round++) {
			print("direct to the service", shortCalls(plain, key));
			print("sidecar -> service", SidecarCaller.shortCalls(plainSidecar, SHORT_CALLERS, this.seconds));
			print("entry -> sidecar -> service", shortCalls(entry, key));
		}
		System.out.printf("%n%-34s %10s %10s %10s %10s %10s %8s %8s%n",
				this.streams + " streams of " + this.tokens + " tokens", "ttft p50", "ttft p95", "ttft p99", "gap p50",
				"gap p99", "whole", "broken");
		for (int round = 0; round < this.rounds; round++) {
			StreamRecorder.Totals direct = runStreams(engine, key);
			print("direct to the engine", direct);
			StreamRecorder.Totals path = runStreams(entry, key);
			print("entry -> sidecar -> engine", path);
			System.out.printf("%-34s %10d %10s %10d %10d %10d   (targets: p50 < 2000, p99 < 10000 us)%n", "  added",
					difference(path.firstToken(), direct.firstToken(), 50), "",
					difference(path.firstToken(), direct.firstToken(), 99), difference(path.gap(), direct.gap(), 50),
					difference(path.gap(), direct.gap(), 99));
		}
		measureMemory(deployment, key, entryIdleMb, sidecarIdleMb, modelSidecar);
	}

	private void measureMemory(Deployment deployment, String key, long entryIdleMb, long sidecarIdleMb,
			InetSocketAddress sidecar) {
		StreamRecorder.Totals totals = new StreamRecorder.Totals();
		CountDownLatch done = openStreams(URI.create(deployment.entryUrl("entry-a")), key, totals);
		long entryMb = ProcessUsage.of(deployment.process("entry-a").pid()).residentMb();
		long sidecarMb = ProcessUsage.of(deployment.process("model-1").pid()).residentMb();
		await(done);
		System.out.printf("%nresident memory, MB                before   with %d streams open   KB per stream%n",
				this.streams);
		System.out.printf("entry %36d %22d %15.1f   (target: < 256 MB)%n", entryIdleMb, entryMb,
				Math.max(0, entryMb - entryIdleMb) * 1024.0 / this.streams);
		System.out.printf("sidecar %34d %22d %15.1f   (target: < 256 MB)%n", sidecarIdleMb, sidecarMb,
				Math.max(0, sidecarMb - sidecarIdleMb) * 1024.0 / this.streams);
	}

	private static long difference(Histogram left, Histogram right, double percentile) {
		return left.getValueAtPercentile(percentile) - right.getValueAtPercentile(percentile);
	}

	private ShortCalls shortCalls(URI target, String key) {
		BufferingHttpClient caller = new BufferingHttpClient(this.client);
		ConcurrentHistogram latency = new ConcurrentHistogram(3);
		AtomicLong calls = new AtomicLong();
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(this.seconds);
		CountDownLatch done = new CountDownLatch(SHORT_CALLERS);
		for (int i = 0; i < SHORT_CALLERS; i++) {
			startNextCall(caller, target, key, latency, calls, endNanos, done);
		}
		await(done);
		return new ShortCalls(latency, calls.get() / (double) this.seconds);
	}

	private void startNextCall(BufferingHttpClient caller, URI target, String key, ConcurrentHistogram latency,
			AtomicLong calls, long endNanos, CountDownLatch done) {
		long startedNanos = System.nanoTime();
		if (startedNanos > endNanos) {
			done.countDown();
			return;
		}
		HttpCall call = new HttpCall("GET", target, "/availability?slot=1", List.of(new HttpHeader("X-Api-Key", key)),
				new byte[0], false);
		caller.call(call, 10_000).whenComplete((response, failure) -> {
			if (failure == null && response.isSuccess()) {
				latency.recordValue((System.nanoTime() - startedNanos) / 1000);
				calls.incrementAndGet();
			}
			startNextCall(caller, target, key, latency, calls, endNanos, done);
		});
	}

	private StreamRecorder.Totals runStreams(URI target, String key) {
		StreamRecorder.Totals totals = new StreamRecorder.Totals();
		await(openStreams(target, key, totals));
		return totals;
	}

	// Opens the streams spread over one second, as callers would arrive; after it, all
	// are open at once.
	private CountDownLatch openStreams(URI target, String key, StreamRecorder.Totals totals) {
		CountDownLatch done = new CountDownLatch(this.streams);
		for (int i = 0; i < this.streams; i++) {
			String tag = "s" + i;
			byte[] body = ("{\"model\":\"m\",\"stream\":true,\"max_tokens\":" + this.tokens + ",\"user\":\"" + tag
					+ "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + tag + "\"}]}")
				.getBytes(StandardCharsets.UTF_8);
			HttpCall call = new HttpCall("POST", target, "/v1/chat/completions",
					List.of(new HttpHeader("X-Api-Key", key)), body, false);
			this.client.start(call, new StreamRecorder(tag, this.tokens, totals, done));
			pause(1000.0 / this.streams);
		}
		return done;
	}

	private static void pause(double ms) {
		try {
			TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void await(CountDownLatch done) {
		try {
			if (!done.await(120, TimeUnit.SECONDS)) {
				throw new IllegalStateException("calls still in progress after two minutes: " + done.getCount());
			}
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void print(String title, ShortCalls calls) {
		System.out.printf("%-34s %10d %10d %10d %12.0f%n", title, calls.latency().getValueAtPercentile(50),
				calls.latency().getValueAtPercentile(95), calls.latency().getValueAtPercentile(99), calls.perSecond());
	}

	private static void print(String title, StreamRecorder.Totals totals) {
		System.out.printf("%-34s %10d %10d %10d %10d %10d %8d %8d%n", title,
				totals.firstToken().getValueAtPercentile(50), totals.firstToken().getValueAtPercentile(95),
				totals.firstToken().getValueAtPercentile(99), totals.gap().getValueAtPercentile(50),
				totals.gap().getValueAtPercentile(99), totals.complete(), totals.incomplete());
	}

	/**
	 * Results of a measurement of short calls.
	 *
	 * @param latency latency in microseconds
	 * @param perSecond successful calls per second
	 */
	record ShortCalls(Histogram latency, double perSecond) {

	}

}
