package io.anvilusher.logic.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Bounds the connections that the clients of one listener hold, and the memory of their
 * request heads. When a bound is exceeded, it selects the connections to close: the
 * oldest incomplete heads first, then the oldest incomplete bodies. None of these
 * requests has been sent to a server. A connection that is selected no longer counts.
 *
 * @param <C> type of a connection
 */
public final class ConnectionBudget<C> {

	/**
	 * Time for which a connection must have waited for a head before it is closed in
	 * favor of a new one, in ms. Otherwise a burst of new connections closes the one of
	 * an ordinary client before its head is read.
	 */
	static final long MIN_HEAD_MS = 100;

	/**
	 * Time for which a response must have made no progress before its connection is
	 * closed in favor of a new one, in ms. It is longer than a round trip between data
	 * centers with a few retransmissions.
	 */
	static final long MIN_UNREAD_MS = 1_000;

	private static final List<Stage> HEAD_MEMORY_ORDER = List.of(Stage.HEAD, Stage.BODY);

	private final int maxConnections;

	private final long maxHeadBytes;

	private final Map<C, Entry> entries = new HashMap<>();

	private final Map<Stage, Set<C>> byStage = new EnumMap<>(Stage.class);

	private long heldHeadBytes;

	/**
	 * Creates a budget of which nothing is in use.
	 * @param maxConnections maximum number of open connections
	 * @param maxHeadBytes maximum memory of the request heads of all connections, in
	 * bytes
	 */
	public ConnectionBudget(int maxConnections, long maxHeadBytes) {
		this.maxConnections = maxConnections;
		this.maxHeadBytes = maxHeadBytes;
		Stream.of(Stage.values()).forEach((stage) -> this.byStage.put(stage, new LinkedHashSet<>()));
	}

	/**
	 * Adds a new connection. If there are too many, another one is selected, or the new
	 * one if no other may be closed.
	 * @param connection the new connection
	 * @param nowMs current time of the monotonic clock, in ms
	 * @return the connection to close; empty if there is room
	 */
	public synchronized Optional<Victim<C>> add(C connection, long nowMs) {
		return add(connection, Stage.HEAD, nowMs);
	}

	/**
	 * Adds a connection again that was selected, but whose request has become complete in
	 * the meantime.
	 * @param connection the connection
	 * @param nowMs current time of the monotonic clock, in ms
	 * @return the connection to close in its place; empty if there is room, or if no
	 * other may be closed
	 */
	public synchronized Optional<Victim<C>> restore(C connection, long nowMs) {
		Optional<Victim<C>> victim = add(connection, Stage.IN_PROGRESS, nowMs);
		if (victim.filter((selected) -> selected.connection().equals(connection)).isEmpty()) {
			return victim;
		}
		insert(connection, Stage.IN_PROGRESS, nowMs);
		return Optional.empty();
	}

	private Optional<Victim<C>> add(C connection, Stage stage, long nowMs) {
		if (this.entries.size() < this.maxConnections) {
			insert(connection, stage, nowMs);
			return Optional.empty();
		}
		Optional<C> other = cheapest(nowMs);
		if (other.isEmpty()) {
			return Optional.of(new Victim<>(connection, stage, Limit.CONNECTIONS));
		}
		Victim<C> victim = select(other.get(), Limit.CONNECTIONS);
		insert(connection, stage, nowMs);
		return Optional.of(victim);
	}

	private Optional<C> cheapest(long nowMs) {
		return Stream
			.of(oldest(Stage.HEAD, (entry) -> nowMs - entry.sinceMs >= MIN_HEAD_MS), oldest(Stage.BODY, (any) -> true),
					oldest(Stage.IDLE, (any) -> true),
					oldest(Stage.UNREAD_RESPONSE, (entry) -> nowMs - entry.sinceMs >= MIN_UNREAD_MS))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private Optional<C> oldest(Stage stage, Predicate<Entry> condition) {
		return this.byStage.get(stage)
			.stream()
			.filter((connection) -> condition.test(this.entries.get(connection)))
			.findFirst();
	}

	private void insert(C connection, Stage stage, long nowMs) {
		this.entries.put(connection, new Entry(stage, nowMs));
		this.byStage.get(stage).add(connection);
	}

	private Victim<C> select(C connection, Limit limit) {
		Victim<C> victim = new Victim<>(connection, this.entries.get(connection).stage, limit);
		remove(connection);
		return victim;
	}

	/**
	 * Records that a connection has reached another stage. Has no effect on a connection
	 * that is not in the budget.
	 * @param connection the connection
	 * @param stage its stage from now on
	 * @param nowMs current time of the monotonic clock, in ms
	 */
	public synchronized void move(C connection, Stage stage, long nowMs) {
		Entry entry = this.entries.get(connection);
		if (entry == null || entry.stage == stage) {
			return;
		}
		this.byStage.get(entry.stage).remove(connection);
		this.byStage.get(stage).add(connection);
		entry.stage = stage;
		entry.sinceMs = nowMs;
	}

	/**
	 * Changes the memory of a connection's request head.
	 * @param connection the connection
	 * @param headBytes memory of the head from now on, in bytes
	 * @return the connections to close because the heads need too much memory together;
	 * the connection itself is the last resort, and is kept if no other head needs memory
	 */
	public synchronized List<Victim<C>> resizeHead(C connection, long headBytes) {
		Entry entry = this.entries.get(connection);
		if (entry == null) {
			return List.of();
		}
		this.heldHeadBytes += headBytes - entry.headBytes;
		entry.headBytes = headBytes;
		List<Victim<C>> victims = new ArrayList<>();
		while (this.heldHeadBytes > this.maxHeadBytes && this.heldHeadBytes > entry.headBytes
				&& this.entries.containsKey(connection)) {
			victims.add(select(largestHolder(connection), Limit.HEAD_MEMORY));
		}
		return List.copyOf(victims);
	}

	private C largestHolder(C connection) {
		return HEAD_MEMORY_ORDER.stream()
			.map((stage) -> this.byStage.get(stage)
				.stream()
				.filter((other) -> !other.equals(connection) && this.entries.get(other).headBytes > 0)
				.findFirst())
			.flatMap(Optional::stream)
			.findFirst()
			.orElse(connection);
	}

	/**
	 * Selects connections whose clients neither send the rest of a body nor read the rest
	 * of a response.
	 * @param nowMs current time of the monotonic clock, in ms
	 * @param timeoutMs time without progress after which a connection is selected, in ms
	 * @param lastReceivedMs returns when something was last received on a connection, in
	 * ms of the monotonic clock
	 * @return the connections to close
	 */
	public synchronized List<Victim<C>> selectStalled(long nowMs, long timeoutMs, ToLongFunction<C> lastReceivedMs) {
		Stream<C> bodies = this.byStage.get(Stage.BODY)
			.stream()
			.filter((connection) -> nowMs - Math.max(lastReceivedMs.applyAsLong(connection),
					this.entries.get(connection).sinceMs) >= timeoutMs);
		Stream<C> responses = this.byStage.get(Stage.UNREAD_RESPONSE)
			.stream()
			.filter((connection) -> nowMs - this.entries.get(connection).sinceMs >= timeoutMs);
		List<C> stalled = Stream.concat(bodies, responses).collect(Collectors.toUnmodifiableList());
		return stalled.stream().map((connection) -> select(connection, Limit.STALLED)).toList();
	}

	/**
	 * Removes a connection that was closed. Has no effect on one that is not in the
	 * budget.
	 * @param connection the connection
	 */
	public synchronized void remove(C connection) {
		Entry entry = this.entries.remove(connection);
		if (entry != null) {
			this.byStage.get(entry.stage).remove(connection);
			this.heldHeadBytes -= entry.headBytes;
		}
	}

	/**
	 * Returns the number of open connections.
	 * @return connections in the budget
	 */
	public synchronized int connections() {
		return this.entries.size();
	}

	/**
	 * Returns the memory of all request heads.
	 * @return memory in bytes
	 */
	public synchronized long heldHeadBytes() {
		return this.heldHeadBytes;
	}

	/**
	 * What a connection is used for at present.
	 */
	public enum Stage {

		/** No request head has arrived completely since the connection was opened. */
		HEAD,

		/** The request head is complete, but not the body. */
		BODY,

		/** The request is complete and its response is not. */
		IN_PROGRESS,

		/** The client does not read the response. */
		UNREAD_RESPONSE,

		/** The last request has ended and no part of the next one has arrived. */
		IDLE

	}

	/**
	 * The limit because of which a connection is closed.
	 */
	public enum Limit {

		/** Maximum number of connections. */
		CONNECTIONS,

		/** Maximum memory of request heads. */
		HEAD_MEMORY,

		/** Longest time without progress of a body or a response. */
		STALLED,

		/** Maximum number of pipelined requests. */
		PIPELINED,

		/** A listener that accepts no bodies. */
		BODY_SIZE

	}

	/**
	 * A connection to close.
	 *
	 * @param <C> type of a connection
	 * @param connection the connection
	 * @param stage its stage when it was selected
	 * @param limit the limit that was reached
	 */
	public record Victim<C>(C connection, Stage stage, Limit limit) {

	}

	private static final class Entry {

		private Stage stage;

		private long sinceMs;

		private long headBytes;

		Entry(Stage stage, long sinceMs) {
			this.stage = stage;
			this.sinceMs = sinceMs;
		}

	}

}
