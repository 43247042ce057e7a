package io.anvilusher.gateway.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import io.micrometer.core.instrument.Counter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.LogInterval;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Metrics and log lines about the limits that servers name. Written on the traffic
 * thread; the gauges are read on others.
 */
public final class LimitMeters {

	private static final Logger LOGGER = LoggerFactory.getLogger(LimitMeters.class);

	/** Servers with metrics of their own; the others share the tag value "other". */
	private static final int MAX_SERVERS = 100;

	private final Meters meters;

	private final Map<String, Limited> limited = new HashMap<>();

	private final Map<String, ServerMeters> metersByTag = new HashMap<>();

	private final LogInterval invalidLog = new LogInterval();

	/**
	 * Creates an instance.
	 * @param meters the metrics of this process
	 */
	public LimitMeters(Meters meters) {
		this.meters = meters;
	}

	/**
	 * Records the limit of a server. Writes a log line if it is new, at most one in 10 s
	 * for each server unless a limit begins or ends.
	 * @param server the server
	 * @param limitPerS the limit in requests per second; empty if there is none
	 * @param nowMs current time of the monotonic clock
	 */
	public void onLimit(RegisteredServer server, OptionalDouble limitPerS, long nowMs) {
		Limited before = this.limited.get(server.id());
		if (limitPerS.isEmpty()) {
			if (before != null) {
				this.limited.remove(server.id());
				before.meters.limitPerS = Double.NaN;
				log(server, "none", "Server names no limit any more; it is sent requests as others are");
			}
			return;
		}
		double value = limitPerS.getAsDouble();
		if (before == null) {
			Limited begun = new Limited(metersOf(server), value);
			this.limited.put(server.id(), begun);
			begun.changeLog.tryLog(nowMs);
			log(server, value, "Server names a limit on the requests from all gateways together");
		}
		else if (before.limitPerS != value) {
			before.limitPerS = value;
			before.meters.limitPerS = value;
			if (before.changeLog.tryLog(nowMs)) {
				log(server, value, "Server names another limit on the requests from all gateways together");
			}
		}
	}

	private static void log(RegisteredServer server, Object limitPerS, String message) {
		LOGGER.atInfo()
			.addKeyValue("server", server.id())
			.addKeyValue("service", server.service())
			.addKeyValue("limit_per_s", limitPerS)
			.log(message);
	}

	/**
	 * Records a response with a limit that is not valid.
	 * @param server the server
	 * @param nowMs current time of the monotonic clock
	 */
	public void onInvalid(RegisteredServer server, long nowMs) {
		this.meters.counter("anvilusher.server.limit.invalid", "service", server.service()).increment();
		if (this.invalidLog.tryLog(nowMs)) {
			LOGGER.atWarn()
				.addKeyValue("server", server.id())
				.addKeyValue("service", server.service())
				.log("Server names a limit that is not a number, or several; it is ignored and the limit before "
						+ "stays in force");
		}
	}

	/**
	 * Counts a request that is being sent to a server, if it has a limit.
	 * @param server the server
	 */
	public void onSent(RegisteredServer server) {
		if (!this.limited.isEmpty()) {
			Limited limit = this.limited.get(server.id());
			if (limit != null) {
				limit.meters.sent.increment();
			}
		}
	}

	/**
	 * Counts a message from another gateway that is not readable.
	 */
	void onUnreadable() {
		this.meters.counter("anvilusher.server.limit.messages.unreadable").increment();
	}

	private ServerMeters metersOf(RegisteredServer server) {
		boolean hasOwn = this.metersByTag.containsKey(server.id()) || this.metersByTag.size() < MAX_SERVERS;
		return this.metersByTag.computeIfAbsent(hasOwn ? server.id() : "other",
				(tag) -> new ServerMeters(this.meters, tag, hasOwn ? server.service() : ""));
	}

	/**
	 * A limit in force.
	 */
	private static final class Limited {

		private final ServerMeters meters;

		private final LogInterval changeLog = new LogInterval();

		private double limitPerS;

		Limited(ServerMeters meters, double limitPerS) {
			this.meters = meters;
			this.limitPerS = limitPerS;
			meters.limitPerS = limitPerS;
		}

	}

	/**
	 * Metrics of a server.
	 */
	private static final class ServerMeters {

		private final Counter sent;

		private volatile double limitPerS;

		ServerMeters(Meters meters, String server, String service) {
			this.sent = meters.counter("anvilusher.server.limit.sent", "server", server, "service", service);
			meters.gauge("anvilusher.server.limit.per.s", this, (self) -> self.limitPerS, "server", server, "service",
					service);
		}

	}

}
