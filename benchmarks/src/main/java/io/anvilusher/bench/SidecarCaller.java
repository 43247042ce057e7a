package io.anvilusher.bench;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.HdrHistogram.ConcurrentHistogram;

import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.protocol.transport.PeerLink;
import io.anvilusher.protocol.transport.PeerListener;
import io.anvilusher.protocol.transport.PeerTiming;

/**
 * Calls a sidecar over the peer protocol, as an entry does, with a fixed number of calls
 * in progress at a time.
 */
final class SidecarCaller implements PeerListener {

	private static final int CREDIT_BYTES = 1 << 20;

	/** Time within which the sidecar may start the first calls, by its own clock. */
	private static final long START_WINDOW_MS = 60_000;

	private final Map<String, Long> startedNanos = new ConcurrentHashMap<>();

	private final ConcurrentHistogram latency = new ConcurrentHistogram(3);

	private final AtomicLong calls = new AtomicLong();

	private final CountDownLatch callersDone;

	private final long endNanos;

	private volatile boolean started;

	private SidecarCaller(int callers, long endNanos) {
		this.callersDone = new CountDownLatch(callers);
		this.endNanos = endNanos;
	}

	static PathBench.ShortCalls shortCalls(InetSocketAddress sidecar, int callers, int seconds) {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		SidecarCaller caller = new SidecarCaller(callers, System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds));
		Hello hello = Hello.newBuilder().setProcess("bench").setIncarnation("bench").setRole("entry").build();
		try (PeerLink link = PeerLink.open(group, sidecar, hello, PeerTiming.DEFAULT, caller)) {
			if (!caller.callersDone.await(seconds + 10L, TimeUnit.SECONDS)) {
				throw new IllegalStateException("sidecar left calls unanswered for 10 s after the measurement");
			}
			return new PathBench.ShortCalls(caller.latency, caller.calls.get() / (double) seconds);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	@Override
	public void onOpen(PeerConnection connection) {
		// The calls begin at the first server report, which contains the sidecar's clock.
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		if (frame.hasServerReport() && !this.started) {
			this.started = true;
			long callers = this.callersDone.getCount();
			for (long i = 0; i < callers; i++) {
				startNextCall(connection, frame.getServerReport().getNowMs() + START_WINDOW_MS);
			}
		}
		else if (frame.hasAnswerEnd()) {
			long started = this.startedNanos.remove(frame.getAnswerEnd().getAttemptId());
			this.latency.recordValue((System.nanoTime() - started) / 1000);
			this.calls.incrementAndGet();
			startNextCall(connection, Long.MAX_VALUE);
		}
	}

	private void startNextCall(PeerConnection connection, long startBeforeMs) {
		if (System.nanoTime() > this.endNanos) {
			this.callersDone.countDown();
			return;
		}
		String id = UUID.randomUUID().toString();
		this.startedNanos.put(id, System.nanoTime());
		connection.send(Frame.newBuilder()
			.setAttemptStart(AttemptStart.newBuilder()
				.setAttemptId(id)
				.setMethod("GET")
				.setPath("/availability?slot=1")
				.setRepeatable(true)
				.setSidecarIncarnation(connection.remote().getIncarnation())
				.setStartBeforeMs(startBeforeMs)
				.setDeadlineMs(10_000)
				.setInitialCreditBytes(CREDIT_BYTES))
			.build());
	}

	@Override
	public void onClosed(PeerConnection connection) {
		// The connection is closed only after the measurement.
	}

}
