package io.anvilusher.gateway.suspect;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.EngineControlClient;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Tells crashes of servers from single connections that were lost and from servers that
 * are only slow: a server has crashed if it accepts no new connection after a loss or
 * during its silence, or if it was replaced meanwhile. Runs on the traffic thread.
 */
final class CrashDetector {

	private static final Logger LOGGER = LoggerFactory.getLogger(CrashDetector.class);

	/**
	 * Number of servers whose last crash is remembered; the oldest are forgotten first.
	 */
	private static final int MAX_CRASHES = 1_024;

	/**
	 * Number of subjects remembered for one crash: several for each request that a
	 * gateway has at one server.
	 */
	private static final int MAX_SUBJECTS = 256;

	/** Time until a process that ends has closed its sockets; a restart takes seconds. */
	private static final long SECOND_PROBE_DELAY_MS = 100;

	/** A silent server that accepted a connection is not asked again for this time. */
	private static final long SILENT_PROBE_INTERVAL_MS = 2_000;

	private final EngineControlClient client;

	private final XnioExecutor thread;

	private final MonotonicClock clock;

	private final Meters meters;

	private final CrashListener listener;

	private final Map<String, LostRequests> lostByServer = new LinkedHashMap<>();

	private final Map<String, Long> acceptedAtMsByServer = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_CRASHES;
		}

	};

	/**
	 * Creates a detector.
	 * @param client asks servers whether they accept connections
	 * @param thread the traffic thread
	 * @param clock the monotonic clock
	 * @param meters the metrics of this process
	 * @param listener is notified of crashes
	 */
	CrashDetector(EngineControlClient client, XnioExecutor thread, MonotonicClock clock, Meters meters,
			CrashListener listener) {
		this.client = client;
		this.thread = thread;
		this.clock = clock;
		this.meters = meters;
		this.listener = listener;
	}

	/**
	 * Records that the connection of a request was lost before the end of the response.
	 * @param server the server
	 * @param subjects subjects of the request
	 */
	void onConnectionLost(RegisteredServer server, RequestSubjects subjects) {
		onLost(server, subjects, false);
	}

	/**
	 * Records that a request ended without a whole response while its server was silent.
	 * @param server the server
	 * @param subjects subjects of the request
	 * @param gone whether this incarnation of the server is no longer registered. Another
	 * one may accept connections at its address then.
	 */
	void onSilent(RegisteredServer server, RequestSubjects subjects, boolean gone) {
		Long acceptedAtMs = this.acceptedAtMsByServer.get(server.id());
		boolean justAccepted = acceptedAtMs != null && this.clock.nowMs() - acceptedAtMs < SILENT_PROBE_INTERVAL_MS;
		if (gone || !justAccepted) {
			onLost(server, subjects, gone);
		}
	}

	private void onLost(RegisteredServer server, RequestSubjects subjects, boolean gone) {
		LostRequests known = this.lostByServer.get(server.id());
		if (known != null && known.server.isSameIncarnation(server)) {
			known.add(subjects);
			if (gone && !known.crashed) {
				confirm(known);
			}
			else if (known.crashed) {
				this.listener.onCrash(server, known.depths());
			}
			return;
		}
		LostRequests first = new LostRequests(server);
		first.add(subjects);
		this.lostByServer.remove(server.id());
		this.lostByServer.put(server.id(), first);
		forgetOldest();
		if (gone) {
			confirm(first);
		}
		else {
			probe(first, true);
		}
	}

	private void forgetOldest() {
		Iterator<LostRequests> oldest = this.lostByServer.values().iterator();
		while (this.lostByServer.size() > MAX_CRASHES) {
			oldest.next();
			oldest.remove();
		}
	}

	private void probe(LostRequests lost, boolean first) {
		try {
			this.client.acceptsConnections(lost.server)
				.thenAcceptAsync((accepting) -> onProbed(lost, accepting, first), this.thread)
				.whenCompleteAsync((ignored, failure) -> {
					if (failure != null) {
						onProbeFailed(lost, failure);
					}
				}, this.thread);
		}
		catch (RuntimeException | Error ex) {
			onProbeFailed(lost, ex);
		}
	}

	// It is not known whether the server crashed; the next lost connection is probed.
	private void onProbeFailed(LostRequests lost, Throwable failure) {
		this.lostByServer.remove(lost.server.id(), lost);
		LOGGER.error("Probing server {} after a lost connection failed unexpectedly", lost.server.id(), failure);
	}

	private void onProbed(LostRequests lost, boolean accepting, boolean first) {
		this.meters.counter("anvilusher.server.probes", "outcome", accepting ? "accepting" : "crashed").increment();
		if (accepting && first) {
			// A process that ends may still have accepted the connection.
			this.thread.executeAfter(() -> probe(lost, false), SECOND_PROBE_DELAY_MS, TimeUnit.MILLISECONDS);
			return;
		}
		if (lost.crashed) {
			return;
		}
		if (accepting) {
			this.lostByServer.remove(lost.server.id(), lost);
			this.acceptedAtMsByServer.put(lost.server.id(), this.clock.nowMs());
			return;
		}
		confirm(lost);
	}

	private void confirm(LostRequests lost) {
		lost.crashed = true;
		LOGGER.atWarn()
			.addKeyValue("server", lost.server.id())
			.addKeyValue("service", lost.server.service())
			.addKeyValue("lost_requests", lost.requests)
			.addKeyValue("subjects", lost.depths.keySet())
			.log("Server crashed while requests were running");
		this.listener.onCrash(lost.server, lost.depths());
	}

	private static final class LostRequests {

		private final RegisteredServer server;

		private final Map<String, Integer> depths = new LinkedHashMap<>();

		private int requests;

		private boolean crashed;

		LostRequests(RegisteredServer server) {
			this.server = server;
		}

		Map<String, Integer> depths() {
			return Map.copyOf(this.depths);
		}

		void add(RequestSubjects lost) {
			this.requests++;
			if (this.depths.size() < MAX_SUBJECTS) {
				lost.depths().forEach((subject, depth) -> this.depths.merge(subject, depth, Math::max));
			}
		}

	}

}
