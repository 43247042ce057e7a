package io.anvilusher.logic.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * State that one gateway keeps about one incarnation of a server: its registration, its
 * announcements, health, load and the prompt parts in its KV cache. Confined to one
 * thread.
 */
public final class TrackedServer {

	/**
	 * Maximum of shared parts remembered per server: twice the number of documents that a
	 * server caches.
	 */
	private static final int MAX_CACHED_PARTS = 2_048;

	/** Number of load reports that {@link #steadyRequests} compares. */
	private static final int STEADY_REPORTS = 3;

	/**
	 * Older reports say nothing about the requests that are running: the duration of a
	 * response of average length.
	 */
	private static final long MAX_STEADY_AGE_MS = 3_000;

	private RegisteredServer server;

	private final ServerHealth health = new ServerHealth();

	private final ServerAvailability availability = new ServerAvailability();

	private final PromptWindow window = new PromptWindow();

	private final GenerationLimit generationLimit = new GenerationLimit();

	private long observerDelayMs;

	private int inFlight;

	private int reportedRunning;

	private int reportedWaiting;

	private final Deque<Integer> recentRunning = new ArrayDeque<>();

	private int inFlightAtReport;

	private long lastReportMs = Long.MIN_VALUE / 2;

	private final Map<String, Boolean> cachedParts = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_CACHED_PARTS;
		}

	};

	/**
	 * Creates the state of a server that this gateway has sent nothing yet.
	 * @param server registration of the server
	 */
	public TrackedServer(RegisteredServer server) {
		this.server = server;
	}

	/**
	 * Replaces the registration by a newer one of the same incarnation of the server.
	 * @param newer the newer registration
	 */
	public void update(RegisteredServer newer) {
		this.server = newer;
	}

	/**
	 * Returns the newest registration of the server.
	 * @return the registration
	 */
	public RegisteredServer server() {
		return this.server;
	}

	/**
	 * Returns the health of the server as seen by this gateway.
	 * @return the health, updated by the outcome of requests
	 */
	public ServerHealth health() {
		return this.health;
	}

	/**
	 * Returns what the server has announced about new requests.
	 * @return the announcements of this incarnation of the server
	 */
	public ServerAvailability availability() {
		return this.availability;
	}

	/**
	 * Returns the limit of prompt tokens that may be pending at the server.
	 * @return the window of this gateway at this server
	 */
	public PromptWindow window() {
		return this.window;
	}

	/**
	 * Returns the limit of requests that the server may run.
	 * @return the limit, adapted to the pauses between the events of streams
	 */
	public GenerationLimit generationLimit() {
		return this.generationLimit;
	}

	/**
	 * Records that a request is being sent to the server.
	 * @param nowMs current time of the monotonic clock
	 */
	public void onSent(long nowMs) {
		this.inFlight++;
		this.health.onSent(nowMs);
	}

	/**
	 * Records that a request is no longer in progress, whatever its outcome.
	 */
	public void onEnded() {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.health.onEnded();
	}

	/**
	 * Records a load report of the server, which counts the requests of all gateways.
	 * @param running requests that the server runs
	 * @param waiting requests queued at the server
	 * @param nowMs current time of the monotonic clock
	 */
	public void onLoadReport(int running, int waiting, long nowMs) {
		this.reportedRunning = running;
		this.reportedWaiting = waiting;
		if (nowMs - this.lastReportMs > MAX_STEADY_AGE_MS) {
			this.recentRunning.clear();
		}
		this.recentRunning.addLast(running);
		if (this.recentRunning.size() > STEADY_REPORTS) {
			this.recentRunning.removeFirst();
		}
		this.inFlightAtReport = this.inFlight;
		this.lastReportMs = nowMs;
	}

	/**
	 * Estimates the number of requests running or queued at the server, including those
	 * of other gateways.
	 * @param nowMs current time of the monotonic clock
	 * @param maxAgeMs a load report older than this is ignored
	 * @return the estimate; without a recent report, the requests of this gateway alone
	 */
	public int occupancy(long nowMs, long maxAgeMs) {
		if (nowMs - this.lastReportMs > maxAgeMs) {
			return this.inFlight;
		}
		int reported = this.reportedRunning + this.reportedWaiting;
		return Math.max(this.inFlight, reported + this.inFlight - this.inFlightAtReport);
	}

	/**
	 * Estimates the number of requests with long responses at the server. A burst of long
	 * prompts also occupies slots, but only for a short time, so that not every report
	 * shows them.
	 * @param nowMs current time of the monotonic clock
	 * @return the fewest running requests in the newest load reports, or the requests of
	 * this gateway if the reports are old
	 */
	public int steadyRequests(long nowMs) {
		if (nowMs - this.lastReportMs > MAX_STEADY_AGE_MS) {
			return this.inFlight;
		}
		return this.recentRunning.stream().mapToInt(Integer::intValue).min().orElse(this.inFlight);
	}

	/**
	 * Estimates how much of what the server may run it runs already.
	 * @param nowMs current time of the monotonic clock
	 * @return requests running or queued at the server, divided by their limit
	 */
	public double generationLoad(long nowMs) {
		return occupancy(nowMs, EnginePlacer.MAX_RUNNING_AGE_MS)
				/ this.generationLimit.maxRequests(this.server.slots());
	}

	/**
	 * Returns the number of requests queued at the server by its newest load report.
	 * @param nowMs current time of the monotonic clock
	 * @param maxAgeMs a load report older than this is ignored
	 * @return the number; 0 without a recent report
	 */
	public int waiting(long nowMs, long maxAgeMs) {
		return (nowMs - this.lastReportMs <= maxAgeMs) ? this.reportedWaiting : 0;
	}

	/**
	 * Returns the age of the newest load report.
	 * @param nowMs current time of the monotonic clock
	 * @return milliseconds; a very large number before the first report
	 */
	public long reportAgeMs(long nowMs) {
		return nowMs - this.lastReportMs;
	}

	/**
	 * Returns the number of requests from this gateway that are in progress at the
	 * server.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Records that the gateway could not read responses for a while. Silence during that
	 * time is not held against the server.
	 * @param delayMs duration of that time, which ends now
	 * @param nowMs current time of the monotonic clock
	 */
	public void onObserverDelay(long delayMs, long nowMs) {
		this.observerDelayMs += delayMs;
		this.health.onObserverDelay(delayMs, nowMs);
		this.window.onObserverDelay(delayMs, nowMs);
	}

	/**
	 * Returns for how long the gateway could not read responses since the server is
	 * known.
	 * @return milliseconds
	 */
	public long observerDelayMs() {
		return this.observerDelayMs;
	}

	/**
	 * Returns whether the server only prefills prompts, for other engines to decode.
	 * @return whether its role is {@link EngineRole#PREFILL}
	 */
	public boolean isPrefill() {
		return this.server.role().filter((role) -> role == EngineRole.PREFILL).isPresent();
	}

	/**
	 * Estimates how many tokens of a prompt the server would have to prefill. Shared
	 * parts that the server has prefilled for this gateway before count as cached.
	 * @param prompt the prompt
	 * @return number of tokens, at least 1
	 */
	public int uncachedTokens(PromptShape prompt) {
		long cached = 0;
		for (PromptPart part : prompt.sharedParts()) {
			if (!this.cachedParts.containsKey(part.id())) {
				break;
			}
			cached += part.tokens();
		}
		return (int) Math.max(1, prompt.promptTokens() - cached);
	}

	/**
	 * Records that the server has prefilled a prompt, so that its KV cache now holds the
	 * shared parts.
	 * @param parts shared parts of the prompt
	 */
	public void onPromptPrefilled(List<PromptPart> parts) {
		parts.forEach((part) -> this.cachedParts.put(part.id(), Boolean.TRUE));
	}

}
