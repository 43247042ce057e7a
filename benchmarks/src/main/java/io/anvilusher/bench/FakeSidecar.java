package io.anvilusher.bench;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;

import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;
import io.anvilusher.protocol.generated.PeerMessages.RecordsRequest;
import io.anvilusher.protocol.generated.PeerMessages.ServerReport;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.protocol.transport.PeerListener;
import io.anvilusher.protocol.transport.PeerServer;
import io.anvilusher.protocol.transport.PeerTiming;

/**
 * Simulates an idle sidecar for an entry: sends server reports and requests for log
 * records, and counts the frames and bytes of both directions with the overhead of TCP
 * and IP.
 */
final class FakeSidecar implements PeerListener, AutoCloseable {

	/** Length prefix of a frame, and the headers of IPv4 and TCP without options. */
	private static final int FRAME_OVERHEAD_BYTES = 4 + 40;

	private static final long REPORT_INTERVAL_MS = 2000;

	private static final long RECORDS_REQUEST_INTERVAL_MS = 3000;

	private final EventLoopGroup group;

	private final String name;

	private final SlopeBench.Counter counter = new SlopeBench.Counter();

	private final PeerServer server;

	private volatile boolean closed;

	private FakeSidecar(EventLoopGroup group, InetSocketAddress address, String name) {
		this.group = group;
		this.name = name;
		Hello hello = Hello.newBuilder()
			.setProcess("sidecar-" + name)
			.setIncarnation(name + "-0123456789abcdef")
			.setRole("sidecar")
			.setDataCentre("dc")
			.setServer(name)
			.setService("model")
			.build();
		this.server = PeerServer.start(group, address, hello, PeerTiming.DEFAULT, this);
	}

	static FakeSidecar start(EventLoopGroup group, InetSocketAddress address, String name) {
		return new FakeSidecar(group, address, name);
	}

	int port() {
		return this.server.port();
	}

	long frames() {
		return this.counter.frames();
	}

	long bytes() {
		return this.counter.bytes();
	}

	@Override
	public void onOpen(PeerConnection connection) {
		sendReport(connection);
		requestRecords(connection);
	}

	private void sendReport(PeerConnection connection) {
		ServerReport report = ServerReport.newBuilder()
			.setServer(this.name)
			.setService("model")
			.setDataCentre("dc")
			.setIncarnation(this.name + "-0123456789abcdef")
			.setNowMs(System.nanoTime() / 1_000_000)
			.setSlots(64)
			.setReachable(true)
			.setStateOffset(2)
			.build();
		sendPeriodically(connection, Frame.newBuilder().setServerReport(report).build(), REPORT_INTERVAL_MS,
				() -> sendReport(connection));
	}

	private void requestRecords(PeerConnection connection) {
		RecordsRequest request = RecordsRequest.newBuilder().setFromOffset(1_000_000).setRequestId(1).build();
		sendPeriodically(connection, Frame.newBuilder().setRecordsRequest(request).build(), RECORDS_REQUEST_INTERVAL_MS,
				() -> requestRecords(connection));
	}

	private void sendPeriodically(PeerConnection connection, Frame frame, long periodMs, Runnable sendNext) {
		if (this.closed || !connection.send(frame)) {
			return;
		}
		this.counter.add(frame.getSerializedSize() + FRAME_OVERHEAD_BYTES);
		this.group.next().schedule(sendNext, periodMs, TimeUnit.MILLISECONDS);
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		this.counter.add(frame.getSerializedSize() + FRAME_OVERHEAD_BYTES);
	}

	@Override
	public void onClosed(PeerConnection connection) {
		// The connection is closed only after the measurement.
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.close();
	}

}
