package io.anvilusher.gateway.fleet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.limit.ServerLimits;
import io.anvilusher.gateway.wire.ResponseHead;
import io.anvilusher.logic.placement.TrackedServer;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Records what servers announce about themselves in the heads of their responses. Used
 * from the traffic thread only.
 */
public final class ServerAnnouncements {

	private static final Logger LOGGER = LoggerFactory.getLogger(ServerAnnouncements.class);

	private static final int MISDIRECTED = 421;

	private static final int UNAVAILABLE = 503;

	private final ServerRegistry serverRegistry;

	private final Meters meters;

	private final MonotonicClock clock;

	private final ServerLimits limits;

	/**
	 * Creates an instance.
	 * @param serverRegistry the servers
	 * @param meters counts the announcements
	 * @param clock the monotonic clock
	 * @param limits limits that servers name
	 */
	public ServerAnnouncements(ServerRegistry serverRegistry, Meters meters, MonotonicClock clock,
			ServerLimits limits) {
		this.serverRegistry = serverRegistry;
		this.meters = meters;
		this.clock = clock;
		this.limits = limits;
	}

	/**
	 * Records the announcements in a response. A response with status 421 (Misdirected
	 * Request) is ignored, since another server sent it.
	 * @param server the server that the request was sent to
	 * @param head head of the response that belongs to the request
	 * @param requestId identifier of the request, for the log
	 * @param sentAtMs time at which the request was sent, by the monotonic clock
	 */
	public void onHead(TrackedServer server, ResponseHead head, String requestId, long sentAtMs) {
		if (head.status() == MISDIRECTED) {
			return;
		}
		onLimit(server, head, sentAtMs);
		onAvailability(server, head, requestId);
	}

	private void onAvailability(TrackedServer server, ResponseHead head, String requestId) {
		if (head.leaving() && server.availability().onLeaving()) {
			this.meters.counter("anvilusher.servers.leaving", "service", server.server().service()).increment();
			LOGGER.atInfo()
				.addKeyValue("server", server.server().id())
				.addKeyValue("service", server.server().service())
				.addKeyValue("request_id", requestId)
				.log("Server announced that it is leaving; it gets no new requests");
		}
		if (head.status() == UNAVAILABLE) {
			head.retryAfterMs().ifPresent((pauseMs) -> onPauseRequested(server, pauseMs, requestId));
		}
	}

	private void onLimit(TrackedServer server, ResponseHead head, long sentAtMs) {
		if (head.limitInvalid()) {
			this.limits.onInvalid(server.server());
		}
		else {
			this.limits.onResponse(server.server(), head.limitPerS(), sentAtMs);
		}
	}

	private void onPauseRequested(TrackedServer server, long pauseMs, String requestId) {
		long nowMs = this.clock.nowMs();
		if (!server.availability().onPauseRequested(pauseMs, nowMs)) {
			return;
		}
		this.meters.counter("anvilusher.servers.pauses", "service", server.server().service()).increment();
		LOGGER.atInfo()
			.addKeyValue("server", server.server().id())
			.addKeyValue("service", server.server().service())
			.addKeyValue("pause_ms", server.availability().pauseLeftMs(nowMs))
			.addKeyValue("request_id", requestId)
			.log("Server asked for a pause; it gets no requests until its end");
	}

	/**
	 * Records the announcements in a response to a call of the control interface.
	 * Responses that carry the identifier of a caller's request belong to another call
	 * and are ignored. One that names no limit says nothing about the limit, which is
	 * named to callers.
	 * @param engine registration of the engine that was called; ignored if it has been
	 * restarted since
	 * @param head head of the response
	 * @param call name of the call, for the log
	 */
	public void onControlHead(RegisteredServer engine, ResponseHead head, String call) {
		if (!head.attemptId().isEmpty() || head.status() == MISDIRECTED) {
			return;
		}
		this.serverRegistry.tracked(engine).ifPresent((server) -> {
			if (head.limitPerS().isPresent() || head.limitInvalid()) {
				onLimit(server, head, this.clock.nowMs());
			}
			onAvailability(server, head, call);
		});
	}

}
