package io.anvilusher.gateway;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;

import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.process.SocketAddresses;
import io.anvilusher.logic.allowance.AllowanceTerms;

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
 * @param allowance terms of the usage limits of workspaces
 * @param peers messages between gateways
 * @param clients limits on clients
 */
public record GatewaySettings(String process, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readyAddress, InetSocketAddress metricsAddress, URI store, Optional<URI> duties, long graceMs,
		double retryRatio, long retryWindowMs, long usageWindowMs, long usageLateMs, long leaseMs, long drainMs,
		long catchUpMs, AllowanceTerms allowance, PeerSettings peers, ClientSettings clients) {

	/** The terms of a deployment whose settings state none. */
	public static final AllowanceTerms DEFAULT_ALLOWANCE = AllowanceTerms.DEFAULT;

	private static final long MAX_MS = 3_600_000;

	private static final double MS_PER_S = 1_000;

	private static final double MAX_OVERAGE = 100;

	/** Larger than any use that a window counts. */
	private static final double MAX_SLACK = 1e15;

	/**
	 * Creates the settings of a gateway that exchanges no messages with others, with the
	 * default terms of usage limits.
	 * @param process name of the process
	 * @param dataCentre its data centre
	 * @param callerAddress address at which it accepts requests
	 * @param readyAddress address of the readiness check for the load balancer
	 * @param metricsAddress address of its metrics and status pages
	 * @param store address of the platform's store
	 * @param duties address to which usage reports are sent; empty if the platform takes
	 * none
	 * @param graceMs time between SIGTERM and SIGKILL, in ms
	 * @param retryRatio retries allowed for each request, over all gateways together
	 * @param retryWindowMs length of the sliding window of the retry budget, in ms
	 * @param usageWindowMs length of a usage window, in ms
	 * @param usageLateMs time after the end of a window by which its report is due, in ms
	 * @param leaseMs lease duration of the duties, in ms
	 * @param drainMs time after which a draining server must get no new requests, in ms
	 * @param catchUpMs time in ms until the newest state must be in use after an outage
	 * @param clients limits on clients
	 */
	public GatewaySettings(String process, String dataCentre, InetSocketAddress callerAddress,
			InetSocketAddress readyAddress, InetSocketAddress metricsAddress, URI store, Optional<URI> duties,
			long graceMs, double retryRatio, long retryWindowMs, long usageWindowMs, long usageLateMs, long leaseMs,
			long drainMs, long catchUpMs, ClientSettings clients) {
		this(process, dataCentre, callerAddress, readyAddress, metricsAddress, store, duties, graceMs, retryRatio,
				retryWindowMs, usageWindowMs, usageLateMs, leaseMs, drainMs, catchUpMs, DEFAULT_ALLOWANCE,
				PeerSettings.NONE, clients);
	}

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
				seconds(reader, "catchUpS"), readAllowance(reader), PeerSettings.read(reader),
				ClientSettings.read(reader));
	}

	private static AllowanceTerms readAllowance(ObjectReader reader) {
		AllowanceTerms defaults = DEFAULT_ALLOWANCE;
		return new AllowanceTerms(
				(long) (reader.number("allowanceWindowS", 0.1, MAX_MS / MS_PER_S, defaults.windowMs() / MS_PER_S)
						* MS_PER_S),
				reader.number("allowanceOverage", 0, MAX_OVERAGE, defaults.overage()),
				reader.number("allowanceSlack", 0, MAX_SLACK, defaults.slack()));
	}

	private static long seconds(ObjectReader reader, String field) {
		return (long) (reader.number(field, 0.1, MAX_MS / 1_000.0, 1) * 1_000);
	}

	/**
	 * Settings of the messages between gateways.
	 *
	 * @param address address at which this gateway receives messages of the other ones;
	 * empty if it exchanges none
	 * @param processorCores number of processor cores that this gateway may use, which
	 * may be a fraction
	 */
	public record PeerSettings(Optional<InetSocketAddress> address, double processorCores) {

		/** Settings of a gateway that exchanges no messages. */
		public static final PeerSettings NONE = new PeerSettings(Optional.empty(), 1);

		private static final double MIN_CORES = 0.001;

		private static final double MAX_CORES = 100_000;

		// A deployment without a second internal port leaves the port empty.
		private static PeerSettings read(ObjectReader reader) {
			Optional<String> text = reader.optionalText("peerAddress")
				.filter((value) -> !value.isEmpty() && !value.endsWith(":"));
			Optional<InetSocketAddress> address = text.flatMap(SocketAddresses::parse)
				.filter((parsed) -> parsed.getPort() > 0 && !parsed.getAddress().isAnyLocalAddress());
			if (text.isPresent() && address.isEmpty()) {
				reader.problem("peerAddress", "\"peerAddress\" must be an IP number and a port at which the other "
						+ "gateways reach this one, such as 10.0.0.7:8080");
			}
			double share = reader.number("processorShare", MIN_CORES, MAX_CORES, 1);
			double count = reader.number("processorCount", MIN_CORES, MAX_CORES, 1);
			return new PeerSettings(address, share * count);
		}

	}

}
