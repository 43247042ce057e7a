package io.anvilusher.entry;

import java.net.InetSocketAddress;
import java.net.URI;

import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.process.DescriptorLimit;
import io.anvilusher.adapters.process.SocketAddresses;
import io.anvilusher.entry.controller.ControlPlane.ControlSettings;
import io.anvilusher.logic.admission.DescriptorShares;
import io.anvilusher.logic.lease.LeaseTiming;

/**
 * Settings of an entry, read from its settings file.
 *
 * @param process name of the process, which is the name of its VM
 * @param dataCentre name of the data centre of that VM
 * @param httpAddress address to listen on for callers
 * @param peerAddress address to listen on for other entries
 * @param adminAddress address to listen on for health, metrics and status
 * @param platform HTTP interface of the platform
 * @param maxBodyBytes size limit of a request body
 * @param maxHeadBytes size limit of a request head
 * @param callerTimeoutMs timeout of a caller that stops sending its request or reading
 * its response
 * @param drainNoticeMs time between reporting not ready and the start of the drain, in
 * which the load balancer can notice the change
 * @param drainTimeoutMs longest time to wait for active requests during the drain
 * @param control timing of the controllers
 * @param maxDescriptors maximum number of open descriptors of the process
 * @param fileDescriptors descriptors that are kept for files
 */
public record EntrySettings(String process, String dataCentre, InetSocketAddress httpAddress,
		InetSocketAddress peerAddress, InetSocketAddress adminAddress, URI platform, long maxBodyBytes,
		int maxHeadBytes, int callerTimeoutMs, long drainNoticeMs, long drainTimeoutMs, ControlSettings control,
		int maxDescriptors, int fileDescriptors) {

	private static final long DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final long BODY_BYTES_UPPER_LIMIT = 32 * 1024 * 1024;

	private static final int DEFAULT_MAX_HEAD_BYTES = 32 * 1024;

	private static final int DEFAULT_FILE_DESCRIPTORS = 200;

	private static final int DEFAULT_CALLER_TIMEOUT_MS = 10_000;

	private static final long MAX_DURATION_MS = 86_400_000;

	private static final long RENEWALS_PER_LEASE = 3;

	private static final ControlSettings DEFAULT_CONTROL = new ControlSettings(new LeaseTiming(6000, 2000, 1000, 0.01),
			900_000, 5000, 60_000, MAX_DURATION_MS, 600_000, 120_000);

	/**
	 * Reads settings. Problems are collected by the reader.
	 * @param reader the root object of the settings file
	 * @return the settings
	 */
	public static EntrySettings read(ObjectReader reader) {
		int processLimit = DescriptorLimit.current();
		int maxDescriptors = Math.min(processLimit,
				(int) reader.wholeNumber("max_descriptors", 1, Integer.MAX_VALUE, processLimit));
		int fileDescriptors = (int) reader.wholeNumber("file_descriptors", 1, Integer.MAX_VALUE,
				DEFAULT_FILE_DESCRIPTORS);
		if (maxDescriptors - fileDescriptors < DescriptorShares.MIN_SOCKETS) {
			reader.problem("max_descriptors",
					"\"max_descriptors\" or the limit of the operating system is " + maxDescriptors + ", of which "
							+ fileDescriptors + " are kept for files (\"file_descriptors\"); at least "
							+ DescriptorShares.MIN_SOCKETS + " must be left for connections");
		}
		return new EntrySettings(reader.text("process"), reader.text("data_centre"),
				SocketAddresses.read(reader, "http_address"), SocketAddresses.read(reader, "peer_address"),
				SocketAddresses.read(reader, "admin_address"), SocketAddresses.readTarget(reader, "platform"),
				reader.wholeNumber("max_body_bytes", 1, BODY_BYTES_UPPER_LIMIT, DEFAULT_MAX_BODY_BYTES),
				(int) reader.wholeNumber("max_head_bytes", 1024, 1024 * 1024, DEFAULT_MAX_HEAD_BYTES),
				(int) reader.wholeNumber("caller_timeout_ms", 100, MAX_DURATION_MS, DEFAULT_CALLER_TIMEOUT_MS),
				reader.wholeNumber("drain_notice_ms", 0, MAX_DURATION_MS, 2000),
				reader.wholeNumber("drain_timeout_ms", 0, MAX_DURATION_MS, 600_000),
				reader.object("control", EntrySettings::readControl).orElse(DEFAULT_CONTROL), maxDescriptors,
				fileDescriptors);
	}

	/**
	 * Returns how the descriptors are divided between the listeners.
	 * @return the shares
	 */
	public DescriptorShares shares() {
		return DescriptorShares.of(this.maxDescriptors, this.fileDescriptors);
	}

	private static ControlSettings readControl(ObjectReader reader) {
		LeaseTiming lease = DEFAULT_CONTROL.leaseTiming();
		long leaseMs = reader.wholeNumber("lease_ms", 200, MAX_DURATION_MS, lease.durationMs());
		return new ControlSettings(new LeaseTiming(leaseMs, leaseMs / RENEWALS_PER_LEASE,
				reader.wholeNumber("lease_margin_ms", 0, MAX_DURATION_MS, lease.marginMs()), lease.maxDriftShare()),
				reader.wholeNumber("checkpoint_interval_ms", 100, MAX_DURATION_MS,
						DEFAULT_CONTROL.checkpointIntervalMs()),
				reader.wholeNumber("checkpoint_records", 10, 1_000_000, DEFAULT_CONTROL.checkpointRecords()),
				reader.wholeNumber("usage_window_ms", 100, MAX_DURATION_MS, DEFAULT_CONTROL.usageWindowMs()),
				reader.wholeNumber("idempotency_retention_ms", 1000, MAX_DURATION_MS,
						DEFAULT_CONTROL.idempotencyRetentionMs()),
				reader.wholeNumber("shrink_after_ms", 0, MAX_DURATION_MS, DEFAULT_CONTROL.shrinkAfterMs()),
				reader.wholeNumber("scale_settle_ms", 0, MAX_DURATION_MS, DEFAULT_CONTROL.scaleSettleMs()));
	}

}
