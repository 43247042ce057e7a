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
 * @param callerAddress address at which it accepts requests
 * @param readyAddress address of the readiness check for the load balancer
 * @param metricsAddress address of its metrics and status pages
 * @param store address of the platform's store
 * @param duties address to which usage reports are sent; empty if the platform takes none
 * @param graceMs time between SIGTERM and SIGKILL, in ms
 * @param retryRatio retries allowed for each request, over all gateways together
 * @param retryWindowMs length of the sliding window of the retry budget, in ms
 * @param usageWindowMs length of a usage window, in ms
 * @param usageLateMs time after the end of a window by which its report is due, in ms
 * @param leaseMs lease duration of the duties: time for which the holder stays the holder
 * without renewal, in ms
 * @param drainMs time after which a draining server must get no new requests, in ms
 * @param catchUpMs time in ms until the newest state must be in use after an outage
 * @param clients limits on clients
 */
public record GatewaySettings(String process, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readyAddress, InetSocketAddress metricsAddress, URI store, Optional<URI> duties, long graceMs,
		double retryRatio, long retryWindowMs, long usageWindowMs, long usageLateMs, long leaseMs, long drainMs,
		long catchUpMs, ClientSettings clients) {

	private static final long MAX_MS = 3_600_000;

	/**
	 * Reads the settings.
	 * @param reader reads the object of the settings file and collects its errors
	 * @return the settings; valid only if the reader collected no errors
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
				seconds(reader, "catchUpS"), ClientSettings.read(reader));
	}

	private static long seconds(ObjectReader reader, String field) {
		return (long) (reader.number(field, 0.1, MAX_MS / 1_000.0, 1) * 1_000);
	}

}
