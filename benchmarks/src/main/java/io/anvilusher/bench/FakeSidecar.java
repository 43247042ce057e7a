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
 * Sends an entry what an idle sidecar sends, and counts frames and bytes both ways, with
 * the overhead of TCP over IP.
 */
final class FakeSidecar implements PeerListener, AutoCloseable {

	private static final int OVERHEAD_BYTES = 4 + 40;

	private static final long REPORT_MS = 2000;

	private static final long RECORDS_MS = 3000;

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
		report(connection);
		poll(connection);
	}

	private void report(PeerConnection connection) {
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
		repeat(connection, Frame.newBuilder().setServerReport(report).build(), REPORT_MS, () -> report(connection));
	}

	private void poll(PeerConnection connection) {
		RecordsRequest request = RecordsRequest.newBuilder().setFromOffset(1_000_000).setRequestId(1).build();
		repeat(connection, Frame.newBuilder().setRecordsRequest(request).build(), RECORDS_MS, () -> poll(connection));
	}

	private void repeat(PeerConnection connection, Frame frame, long periodMs, Runnable again) {
		if (this.closed || !connection.send(frame)) {
			return;
		}
		this.counter.add(frame.getSerializedSize() + OVERHEAD_BYTES);
		this.group.next().schedule(again, periodMs, TimeUnit.MILLISECONDS);
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		this.counter.add(frame.getSerializedSize() + OVERHEAD_BYTES);
	}

	@Override
	public void onClosed(PeerConnection connection) {
		// Only at the end of the measurement.
	}

	@Override
	public void close() {
		this.closed = true;
		this.server.close();
	}

}
