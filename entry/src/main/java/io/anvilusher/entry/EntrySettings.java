package io.anvilusher.entry;

import java.net.InetSocketAddress;
import java.net.URI;

import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.process.SocketAddresses;

/**
 * Settings of an entry.
 *
 * @param process name of the process, which is the name of its VM
 * @param dataCentre its data centre
 * @param httpAddress address to listen on for callers
 * @param peerAddress address to listen on for other entries
 * @param adminAddress address to listen on for health, metrics and status
 * @param platform HTTP interface of the platform
 * @param maxBodyBytes largest request body
 * @param maxHeadBytes largest request head
 * @param callerTimeoutMs longest silence of a caller that is to send or to read
 * @param drainNoticeMs time between turning unready and closing the listener, for the
 * balancer to notice
 * @param drainTimeoutMs longest time to finish the work in hand after SIGTERM
 */
public record EntrySettings(String process, String dataCentre, InetSocketAddress httpAddress,
		InetSocketAddress peerAddress, InetSocketAddress adminAddress, URI platform, long maxBodyBytes,
		int maxHeadBytes, int callerTimeoutMs, long drainNoticeMs, long drainTimeoutMs) {

	private static final long DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final long MAX_MAX_BODY_BYTES = 32 * 1024 * 1024;

	private static final int DEFAULT_MAX_HEAD_BYTES = 32 * 1024;

	private static final int DEFAULT_CALLER_TIMEOUT_MS = 10_000;

	private static final long MAX_MS = 86_400_000;

	/**
	 * Reads settings.
	 * @param reader the settings file's object
	 * @return the settings
	 */
	public static EntrySettings read(ObjectReader reader) {
		return new EntrySettings(reader.text("process"), reader.text("data_centre"),
				SocketAddresses.read(reader, "http_address"), SocketAddresses.read(reader, "peer_address"),
				SocketAddresses.read(reader, "admin_address"), SocketAddresses.readTarget(reader, "platform"),
				reader.wholeNumber("max_body_bytes", 1, MAX_MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES),
				(int) reader.wholeNumber("max_head_bytes", 1024, 1024 * 1024, DEFAULT_MAX_HEAD_BYTES),
				(int) reader.wholeNumber("caller_timeout_ms", 100, MAX_MS, DEFAULT_CALLER_TIMEOUT_MS),
				reader.wholeNumber("drain_notice_ms", 0, MAX_MS, 2000),
				reader.wholeNumber("drain_timeout_ms", 0, MAX_MS, 600_000));
	}

}
