package io.anvilusher.logic.placement.coordinated;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.anvilusher.logic.placement.GenerationLimit;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptShape;

/**
 * What a coordinator knows of one engine: the work assigned to it, the responses that it
 * generates, its speed and the prompt parts in its KV cache. Confined to one thread.
 */
final class EngineLedger {

	/**
	 * Time from an assignment until the engine has the request, and from the end of a
	 * prefill until the coordinator knows.
	 */
	static final double MESSAGE_MS = 12;

	/**
	 * An engine whose work is overdue is expected to need this share of it once more:
	 * what slows it is not known.
	 */
	static final double OVERDUE_SHARE = 0.5;

	/**
	 * An engine that has completed nothing for this long after its work should have ended
	 * gets no more.
	 */
	static final long STALLED_MS = 250;

	/** Pause of an engine after a request was lost or rejected there. */
	static final long FAILED_PAUSE_MS = 300;

	static final long REJECTED_PAUSE_MS = 40;

	private final RegisteredServer server;

	private final EngineSpeed speed;

	private final CachedParts cachedParts;

	private final GenerationLimit generationLimit = new GenerationLimit();

	private final EngineQueue queue = new EngineQueue();

	private final Map<RequestKey, Assignment> prefills = new HashMap<>();

	private final Map<RequestKey, Assignment> generations = new HashMap<>();

	private double pendingTokens;

	private double freeAtMs;

	private long lastProgressMs;

	private long pausedUntilMs = Long.MIN_VALUE / 2;

	EngineLedger(RegisteredServer server, long kvCapacityTokens, double initialScale) {
		this.server = server;
		this.speed = new EngineSpeed(server.role().equals(Optional.of(EngineRole.PREFILL)), initialScale);
		this.cachedParts = new CachedParts(kvCapacityTokens);
	}

	String id() {
		return this.server.id();
	}

	RegisteredServer server() {
		return this.server;
	}

	EngineSpeed speed() {
		return this.speed;
	}

	EngineQueue queue() {
		return this.queue;
	}

	CachedParts cachedParts() {
		return this.cachedParts;
	}

	boolean isPrefill() {
		return this.server.role().equals(Optional.of(EngineRole.PREFILL));
	}

	double workMs(int tokens) {
		return tokens * this.speed.msPerToken();
	}

	/**
	 * Returns the time until the engine has prefilled what was assigned to it.
	 * @param nowMs current time of the monotonic clock
	 * @return milliseconds; 0 if nothing is pending
	 */
	double backlogMs(long nowMs) {
		double pendingMs = this.pendingTokens * this.speed.msPerToken();
		return Math.max(this.freeAtMs - nowMs, OVERDUE_SHARE * pendingMs);
	}

	/**
	 * Returns whether the engine may be sent requests now.
	 * @param nowMs current time of the monotonic clock
	 * @return false for a while after a failure, and while its work is long overdue
	 */
	boolean isUsable(long nowMs) {
		boolean stalled = !this.prefills.isEmpty() && nowMs - Math.max(this.freeAtMs, this.lastProgressMs) > STALLED_MS;
		return nowMs >= this.pausedUntilMs && !stalled;
	}

	int occupiedSlots() {
		return this.prefills.size() + this.generations.size();
	}

	boolean hasSlot() {
		return occupiedSlots() < this.server.slots();
	}

	/**
	 * Returns the number of long responses that the engine generates or will generate.
	 * @return number of requests with a short prompt
	 */
	int streams() {
		return (int) (this.generations.values().stream().filter(Assignment::isStream).count()
				+ this.prefills.values().stream().filter(Assignment::isStream).count());
	}

	/**
	 * Returns how much of what the engine may generate it generates.
	 * @return number of long responses divided by their limit
	 */
	double streamLoad() {
		return streams() / this.generationLimit.maxRequests(this.server.slots());
	}

	void onPause(long pauseMs, long targetMs, long nowMs) {
		this.generationLimit.onPause(pauseMs, targetMs, occupiedSlots(), this.server.slots(), nowMs);
	}

	/**
	 * Records that a prompt is sent to the engine.
	 * @param request the request
	 * @param uncachedTokens tokens that it has to prefill
	 * @param nowMs current time of the monotonic clock
	 */
	void assign(PlacementRequest request, int uncachedTokens, long nowMs) {
		double workMs = workMs(uncachedTokens);
		this.freeAtMs = Math.max(this.freeAtMs, nowMs + MESSAGE_MS) + workMs;
		this.pendingTokens += uncachedTokens;
		this.prefills.put(request.key(),
				new Assignment(request, uncachedTokens, nowMs, this.freeAtMs - nowMs + MESSAGE_MS));
		this.cachedParts.onPrefill(request.prompt());
	}

	/**
	 * Records that a response is generated from the KV cache of another engine.
	 * @param request the request
	 * @param nowMs current time of the monotonic clock
	 */
	void assignDecode(PlacementRequest request, long nowMs) {
		this.generations.put(request.key(), new Assignment(request, 0, nowMs, 0));
		this.cachedParts.onPrefill(request.prompt());
	}

	/**
	 * Records that a prompt was prefilled.
	 * @param key identifies the request
	 * @param nowMs current time of the monotonic clock
	 */
	void onPrefilled(RequestKey key, long nowMs) {
		Assignment assignment = settle(key, nowMs);
		if (assignment == null) {
			return;
		}
		this.speed.onPrefilled(assignment.expectedMs(), nowMs - assignment.atMs());
		this.lastProgressMs = nowMs;
		if (!isPrefill()) {
			this.generations.put(key, assignment);
		}
	}

	private Assignment settle(RequestKey key, long nowMs) {
		Assignment assignment = this.prefills.remove(key);
		if (assignment != null) {
			this.pendingTokens = this.prefills.isEmpty() ? 0
					: Math.max(0, this.pendingTokens - assignment.uncachedTokens());
			this.freeAtMs = nowMs + this.pendingTokens * this.speed.msPerToken();
		}
		return assignment;
	}

	/**
	 * Records that a request is no longer at the engine.
	 * @param key identifies the request
	 * @param nowMs current time of the monotonic clock
	 */
	void onEnded(RequestKey key, long nowMs) {
		settle(key, nowMs);
		this.generations.remove(key);
	}

	void onFailed(long nowMs) {
		this.pausedUntilMs = nowMs + FAILED_PAUSE_MS;
	}

	void onRejected(long nowMs) {
		this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + REJECTED_PAUSE_MS);
	}

	/**
	 * Forgets requests whose end was not reported.
	 * @param nowMs current time of the monotonic clock
	 * @return the requests
	 */
	List<RequestKey> expire(long nowMs) {
		List<RequestKey> expired = Stream.of(this.prefills, this.generations)
			.flatMap((assignments) -> assignments.entrySet().stream())
			.filter((entry) -> nowMs > entry.getValue().request().deadlineAtMs())
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach((key) -> onEnded(key, nowMs));
		return expired;
	}

	int uncachedTokens(PromptShape prompt) {
		return this.cachedParts.uncachedTokens(prompt);
	}

	private record Assignment(PlacementRequest request, int uncachedTokens, long atMs, double expectedMs) {

		boolean isStream() {
			return this.request.isShortPrompt();
		}

	}

}
