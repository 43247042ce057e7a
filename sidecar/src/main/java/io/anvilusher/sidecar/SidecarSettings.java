package io.anvilusher.sidecar;

import java.net.InetSocketAddress;
import java.net.URI;

import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.process.SocketAddresses;

/**
 * Settings of a sidecar.
 *
 * @param process name of the process
 * @param dataCentre data centre of the process
 * @param server name of the backend server, which is the name of its VM
 * @param service the service that the backend server belongs to
 * @param backend HTTP interface of the backend server
 * @param healthPath path of the health check of the backend server
 * @param peerAddress address to listen on for entries
 * @param adminAddress address to listen on for health and metrics
 * @param lockAddress loopback address that the sidecar binds, so that no second sidecar
 * of the server can run
 * @param platform HTTP interface of the platform
 * @param drainTimeoutMs maximum time to complete the attempts in progress after SIGTERM
 */
public record SidecarSettings(String process, String dataCentre, String server, String service, URI backend,
		String healthPath, InetSocketAddress peerAddress, InetSocketAddress adminAddress, InetSocketAddress lockAddress,
		URI platform, long drainTimeoutMs) {

	private static final long DEFAULT_DRAIN_TIMEOUT_MS = 600_000;

	private static final long MAX_DRAIN_TIMEOUT_MS = 86_400_000;

	/**
	 * Reads the settings from a settings file. The reader collects missing or invalid
	 * values.
	 * @param reader reads the object in the settings file
	 * @return the settings
	 */
	public static SidecarSettings read(ObjectReader reader) {
		return new SidecarSettings(reader.text("process"), reader.text("data_centre"), reader.text("server"),
				reader.text("service"), SocketAddresses.readTarget(reader, "backend"),
				reader.optionalText("health_path").orElse("/health"), SocketAddresses.read(reader, "peer_address"),
				SocketAddresses.read(reader, "admin_address"), SocketAddresses.read(reader, "lock_address"),
				SocketAddresses.readTarget(reader, "platform"),
				reader.wholeNumber("drain_timeout_ms", 0, MAX_DRAIN_TIMEOUT_MS, DEFAULT_DRAIN_TIMEOUT_MS));
	}

}
