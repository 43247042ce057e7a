package io.anvilusher.gateway;

import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.ListenerLimits.RequestLimits;
import io.anvilusher.adapters.json.ObjectReader;
import io.anvilusher.adapters.process.DescriptorLimit;
import io.anvilusher.logic.admission.DescriptorShares;

/**
 * Limits on the clients of a gateway. No client within the documented limits (heads of
 * 16,384 bytes, bodies of 4,194,304 bytes, 3,000 ms for a head, 15,000 ms idle) reaches
 * the defaults.
 *
 * @param maxDescriptors maximum number of open descriptors of the process
 * @param fileDescriptors descriptors that are kept for files
 * @param maxHeadBytes maximum size of a request head, in bytes
 * @param maxHeadFields maximum number of header fields of a request
 * @param maxQueryParameters maximum number of query parameters of a request
 * @param maxPipelined maximum number of requests of a connection within a second that
 * arrive before the response to the previous one is complete
 * @param headTimeoutMs maximum time for a request head to arrive, in ms
 * @param stalledTimeoutMs time without progress of a request body or a response after
 * which a connection is closed, in ms
 */
public record ClientSettings(int maxDescriptors, int fileDescriptors, int maxHeadBytes, int maxHeadFields,
		int maxQueryParameters, int maxPipelined, int headTimeoutMs, int stalledTimeoutMs) {

	private static final int DEFAULT_FILE_DESCRIPTORS = 200;

	private static final int MIN_HEAD_BYTES = 1_024;

	private static final int MAX_HEAD_BYTES = 64 * 1024;

	private static final int MAX_FIELDS = 10_000;

	private static final int MAX_TIMEOUT_MS = 3_600_000;

	private static final int MIN_TIMEOUT_MS = 100;

	/**
	 * Idle timeout of the connections of callers; longer than callers keep idle
	 * connections open.
	 */
	private static final int CALLER_IDLE_TIMEOUT_MS = 120_000;

	/** Maximum size of a request body; the routing table may set a lower limit. */
	private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	/**
	 * Returns the defaults with the limit of the operating system on descriptors.
	 * @return the default settings
	 */
	public static ClientSettings defaults() {
		return new ClientSettings(DescriptorLimit.current(), DEFAULT_FILE_DESCRIPTORS, RequestLimits.DEFAULT_HEAD_BYTES,
				RequestLimits.DEFAULT_HEAD_FIELDS, RequestLimits.DEFAULT_QUERY_PARAMETERS,
				RequestLimits.DEFAULT_PIPELINED, ListenerLimits.DEFAULT_HEAD_TIMEOUT_MS,
				ListenerLimits.DEFAULT_STALLED_TIMEOUT_MS);
	}

	/**
	 * Reads the settings.
	 * @param reader reads the object of the settings file and collects its errors
	 * @return the settings; valid only if the reader collected no errors
	 */
	public static ClientSettings read(ObjectReader reader) {
		int maxDescriptors = (int) reader.wholeNumber("maxDescriptors", 1, Integer.MAX_VALUE,
				DescriptorLimit.current());
		int fileDescriptors = (int) reader.wholeNumber("fileDescriptors", 1, Integer.MAX_VALUE,
				DEFAULT_FILE_DESCRIPTORS);
		if (maxDescriptors - fileDescriptors < DescriptorShares.MIN_SOCKETS) {
			reader.problem("maxDescriptors",
					"\"maxDescriptors\", by default the limit of the operating system, is " + maxDescriptors
							+ ", of which " + fileDescriptors + " are kept for files (\"fileDescriptors\"); at least "
							+ DescriptorShares.MIN_SOCKETS + " must be left for connections");
		}
		return new ClientSettings(maxDescriptors, fileDescriptors,
				(int) reader.wholeNumber("maxHeadBytes", MIN_HEAD_BYTES, MAX_HEAD_BYTES,
						RequestLimits.DEFAULT_HEAD_BYTES),
				(int) reader.wholeNumber("maxHeadFields", 1, MAX_FIELDS, RequestLimits.DEFAULT_HEAD_FIELDS),
				(int) reader.wholeNumber("maxQueryParameters", 1, MAX_FIELDS, RequestLimits.DEFAULT_QUERY_PARAMETERS),
				(int) reader.wholeNumber("maxPipelined", 0, MAX_FIELDS, RequestLimits.DEFAULT_PIPELINED),
				(int) reader.wholeNumber("headTimeoutMs", MIN_TIMEOUT_MS, MAX_TIMEOUT_MS,
						ListenerLimits.DEFAULT_HEAD_TIMEOUT_MS),
				(int) reader.wholeNumber("stalledTimeoutMs", MIN_TIMEOUT_MS, MAX_TIMEOUT_MS,
						ListenerLimits.DEFAULT_STALLED_TIMEOUT_MS));
	}

	private DescriptorShares shares() {
		return DescriptorShares.of(this.maxDescriptors, this.fileDescriptors);
	}

	/**
	 * Returns the limits of the listener for callers.
	 * @return the limits
	 */
	public ListenerLimits callers() {
		return new ListenerLimits("callers", shares().callers(),
				(long) (Runtime.getRuntime().maxMemory() * ListenerLimits.CALLER_HEAD_HEAP_SHARE),
				request(MAX_BODY_BYTES), this.headTimeoutMs, CALLER_IDLE_TIMEOUT_MS, this.stalledTimeoutMs);
	}

	/**
	 * Returns the limits of the listener for the readiness check.
	 * @return the limits
	 */
	public ListenerLimits readiness() {
		return checks("readiness", shares().readiness());
	}

	/**
	 * Returns the limits of the listener for metrics and status.
	 * @return the limits
	 */
	public ListenerLimits metrics() {
		return checks("metrics", shares().metrics());
	}

	private ListenerLimits checks(String listener, int maxConnections) {
		ListenerLimits defaults = ListenerLimits.ofChecks(listener, maxConnections);
		return new ListenerLimits(listener, maxConnections, defaults.maxHeadMemoryBytes(),
				request(defaults.request().maxBodyBytes()), this.headTimeoutMs, defaults.idleTimeoutMs(),
				this.stalledTimeoutMs);
	}

	private RequestLimits request(long maxBodyBytes) {
		return new RequestLimits(this.maxHeadBytes, this.maxHeadFields, this.maxQueryParameters, maxBodyBytes,
				this.maxPipelined);
	}

}
