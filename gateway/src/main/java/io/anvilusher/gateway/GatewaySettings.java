package io.anvilusher.gateway;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;

import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.process.SocketAddresses;

/**
 * Settings of a gateway.
 *
 * @param process name of the process
 * @param dataCentre its data centre
 * @param callerAddress where it takes requests
 * @param readyAddress where the balancer asks whether it takes connections
 * @param metricsAddress where it shows its metrics
 * @param store address of the platform's store
 * @param duties address of the platform's interface for duties; empty if there is none
 * @param graceMs time between SIGTERM and SIGKILL, in ms
 * @param retryRatio repeats for each request that all gateways share
 * @param retryWindowMs sliding window of the repeats, in ms
 * @param usageWindowMs length of a usage window, in ms
 * @param usageLateMs time after a window's end by which its report is due, in ms
 * @param leaseMs time for which a holder of a duty counts as such without renewal, in ms
 * @param drainMs time in which a leaving server must get no new work, in ms
 * @param catchUpMs time in which the newest state must be in force after an outage, in ms
 */
public record GatewaySettings(String process, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readyAddress, InetSocketAddress metricsAddress, URI store, Optional<URI> duties, long graceMs,
		double retryRatio, long retryWindowMs, long usageWindowMs, long usageLateMs, long leaseMs, long drainMs,
		long catchUpMs) {

	private static final long MAX_MS = 3_600_000;

	/**
	 * Reads the settings.
	 * @param reader the settings file's object
	 * @return the settings, of use only if the reader noted no mistakes
	 */
	public static GatewaySettings read(ObjectReader reader) {
		return new GatewaySettings(reader.text("process"), reader.text("dataCentre"),
				SocketAddresses.read(reader, "callerAddress"), SocketAddresses.read(reader, "readyAddress"),
				SocketAddresses.read(reader, "metricsAddress"), SocketAddresses.readTarget(reader, "store"),
				reader.optionalText("duties")
					.filter((text) -> !text.equals("http://"))
					.map((text) -> SocketAddresses.readTarget(reader, "duties")),
				seconds(reader, "graceS"), reader.number("retryRatio", 0, 1, 0), seconds(reader, "retryWindowS"),
				seconds(reader, "usageWindowS"), seconds(reader, "usageLateS"),
				reader.wholeNumber("leaseMs", 1, MAX_MS, 3_000), reader.wholeNumber("drainMs", 1, MAX_MS, 2_000),
				seconds(reader, "catchUpS"));
	}

	private static long seconds(ObjectReader reader, String field) {
		return (long) (reader.number(field, 0.1, MAX_MS / 1_000.0, 1) * 1_000);
	}

}
