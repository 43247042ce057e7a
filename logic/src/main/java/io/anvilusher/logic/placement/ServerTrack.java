package io.anvilusher.logic.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * What one gateway knows of one life of one server. Used from one thread.
 */
public final class ServerTrack {

	/**
	 * Shared parts remembered for a server. Source: twice the documents a server caches.
	 */
	private static final int MAX_PARTS = 2_048;

	private RegisteredServer server;

	private final ServerHealth health = new ServerHealth();

	private final PromptWindow window = new PromptWindow();

	private int inFlight;

	private int reportedRunning;

	private int reportedWaiting;

	private int inFlightAtReport;

	private long reportedAtMs = Long.MIN_VALUE / 2;

	private final Map<String, Boolean> seenParts = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PARTS;
		}

	};

	/**
	 * Creates a track of a server that has been sent nothing.
	 * @param server the server
	 */
	public ServerTrack(RegisteredServer server) {
		this.server = server;
	}

	/**
	 * Takes over a newer registration of the same life of the server.
	 * @param newer the registration
	 */
	public void update(RegisteredServer newer) {
		this.server = newer;
	}

	/**
	 * Returns the server.
	 * @return its newest registration
	 */
	public RegisteredServer server() {
		return this.server;
	}

	/**
	 * Returns the server's condition.
	 * @return what its answers tell
	 */
	public ServerHealth health() {
		return this.health;
	}

	/**
	 * Returns the bound on unread prompts.
	 * @return the bound
	 */
	public PromptWindow window() {
		return this.window;
	}

	/**
	 * Notes a request that is being sent.
	 * @param nowMs the time
	 */
	public void onSent(long nowMs) {
		this.inFlight++;
		this.health.onSent(nowMs);
	}

	/**
	 * Notes the end of a request.
	 */
	public void onEnded() {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.health.onEnded();
	}

	/**
	 * Notes the server's own counts.
	 * @param running requests that run
	 * @param waiting requests that wait
	 * @param nowMs the time
	 */
	public void onLoadReport(int running, int waiting, long nowMs) {
		this.reportedRunning = running;
		this.reportedWaiting = waiting;
		this.inFlightAtReport = this.inFlight;
		this.reportedAtMs = nowMs;
	}

	/**
	 * Estimates the requests at the server, those of other gateways included.
	 * @param nowMs the time
	 * @param maxAgeMs oldest report to use
	 * @return requests
	 */
	public int occupancy(long nowMs, long maxAgeMs) {
		if (nowMs - this.reportedAtMs > maxAgeMs) {
			return this.inFlight;
		}
		int reported = this.reportedRunning + this.reportedWaiting;
		return Math.max(this.inFlight, reported + this.inFlight - this.inFlightAtReport);
	}

	/**
	 * Returns the waiting requests of a report that is not too old to tell anything.
	 * @param nowMs the time
	 * @param maxAgeMs oldest report to use
	 * @return waiting requests; 0 if unknown
	 */
	public int waiting(long nowMs, long maxAgeMs) {
		return (nowMs - this.reportedAtMs <= maxAgeMs) ? this.reportedWaiting : 0;
	}

	/**
	 * Returns the age of the newest report.
	 * @param nowMs the time
	 * @return milliseconds; very many without a report
	 */
	public long reportAgeMs(long nowMs) {
		return nowMs - this.reportedAtMs;
	}

	/**
	 * Returns the requests that this gateway has at the server.
	 * @return requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Tells whether the server reads prompts for others.
	 * @return whether it does
	 */
	public boolean isPrefill() {
		return this.server.role().filter((role) -> role == EngineRole.PREFILL).isPresent();
	}

	/**
	 * Estimates the tokens of a prompt that the server would have to read, taking the
	 * shared parts that this gateway sent there before for cached.
	 * @param prompt the prompt
	 * @return tokens
	 */
	public int uncachedTokens(PromptShape prompt) {
		int cached = 0;
		for (PromptPart part : prompt.sharedParts()) {
			if (!this.seenParts.containsKey(part.id())) {
				break;
			}
			cached += part.tokens();
		}
		return Math.max(1, prompt.promptTokens() - cached);
	}

	/**
	 * Notes the shared parts of a prompt that the server has read.
	 * @param parts the parts
	 */
	public void onRead(List<PromptPart> parts) {
		parts.forEach((part) -> this.seenParts.put(part.id(), Boolean.TRUE));
	}

}
