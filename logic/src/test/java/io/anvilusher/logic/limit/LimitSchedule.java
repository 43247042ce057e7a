package io.anvilusher.logic.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Simulates gateways that send requests to a server that names a limit, over a network
 * that loses, repeats and delays messages. The same seed gives the same schedule.
 */
final class LimitSchedule {

	static final String SERVER = "server";

	static final long STEP_MS = 5;

	/** Time for which a request waits for a permit. */
	private static final long DEADLINE_MS = 2_000;

	/** Interval at which a waiting request is counted again. */
	private static final long WANTED_INTERVAL_MS = 100;

	/** Longest time until a gateway reads that the list of gateways has changed. */
	private static final int LIST_DELAY_MS = 6_000;

	private static final long LIST_INTERVAL_MS = 5_000;

	/** Number of gateways from which no more join. */
	private static final int MAX_JOINED = 60;

	private final Random random;

	private final Set<Fault> faults;

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final Map<String, Double> registered = new LinkedHashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	/** The values that the server names, by time; NaN stands for none. */
	private final TreeMap<Long, Double> named = new TreeMap<>();

	/** Groups of gateways that reach each other; empty without a partition. */
	private final Map<String, Integer> sides = new HashMap<>();

	private Cut cut = Cut.NONE;

	/** Counts all gateways that know of the limit. */
	private final LimitBound strictBound = new LimitBound(STEP_MS);

	/** Does not count gateways that were restarted, frozen or cut off lately. */
	private final LimitBound bound = new LimitBound(STEP_MS);

	private final long startMs = 1_000_000;

	private long nowMs = this.startMs;

	private LongToDoubleFunction demandPerS = (ms) -> 0;

	private Spread spread = Spread.EVEN;

	private double owed;

	private int firstGateway;

	private long movedMs;

	private double lossRate;

	private long faultsEndMs;

	private long eventOrder;

	private long runs;

	private long messages;

	private int sent;

	private int expired;

	private int refused;

	LimitSchedule(long seed, int gateways, Set<Fault> faults) {
		this.random = new Random(seed);
		this.faults = faults;
		IntStream.range(0, gateways).forEach((index) -> addNode("g" + index));
		this.nodes.values().forEach(Node::readList);
		this.named.put(0L, Double.NaN);
	}

	private void addNode(String name) {
		this.registered.put(name, 1.0 + this.random.nextInt(2));
		this.nodes.put(name, new Node(name));
	}

	/**
	 * Lets the server name a value.
	 * @param afterMs time after the start
	 * @param value the value in requests per second; may be absurd
	 */
	void name(long afterMs, double value) {
		this.named.put(this.startMs + afterMs, value);
	}

	/**
	 * Lets the server name no limit any more.
	 * @param afterMs time after the start
	 */
	void end(long afterMs) {
		this.named.put(this.startMs + afterMs, Double.NaN);
	}

	/**
	 * Sets the requests that are made.
	 * @param perS their rate at a time after the start, in ms
	 * @param where the gateways that receive them
	 */
	void setDemand(LongToDoubleFunction perS, Spread where) {
		this.demandPerS = perS;
		this.spread = where;
	}

	/**
	 * Runs the schedule for some time.
	 * @param durationMs the time
	 */
	void run(long durationMs) {
		long endMs = this.nowMs + durationMs;
		while (this.nowMs < endMs) {
			this.nowMs += STEP_MS;
			while (!this.events.isEmpty() && this.events.peek().atMs() <= this.nowMs) {
				this.events.poll().action().run();
			}
			makeRequests();
			this.nodes.values().forEach(Node::step);
			this.bound.step(inForce(), this.nowMs);
			this.strictBound.step(inForce(), this.nowMs);
		}
	}

	/**
	 * Lets faults begin during some time from now.
	 * @param durationMs time in which faults begin
	 * @param intervalMs mean time between them
	 */
	void addFaults(long durationMs, long intervalMs) {
		this.faultsEndMs = this.nowMs + durationMs;
		List<Fault> kinds = this.faults.stream().sorted().toList();
		long atMs = 0;
		while (atMs < durationMs) {
			atMs += intervalMs / 2 + this.random.nextLong(intervalMs);
			Fault kind = kinds.get(this.random.nextInt(kinds.size()));
			long lengthMs = 200 + this.random.nextInt(8_000);
			schedule(atMs, () -> startFault(kind, lengthMs));
		}
	}

	private OptionalDouble namedNow() {
		double value = this.named.floorEntry(this.nowMs).getValue();
		return Double.isNaN(value) ? OptionalDouble.empty() : OptionalDouble.of(value);
	}

	/** The last valid value is in force while absurd ones are named. */
	private OptionalDouble inForce() {
		return this.named.headMap(this.nowMs, true)
			.descendingMap()
			.values()
			.stream()
			.filter((value) -> Double.isNaN(value) || LimitNews.isValid(value))
			.findFirst()
			.filter((value) -> !Double.isNaN(value))
			.map(OptionalDouble::of)
			.orElse(OptionalDouble.empty());
	}

	private void makeRequests() {
		this.owed += this.demandPerS.applyAsDouble(this.nowMs - this.startMs) * STEP_MS / 1_000;
		if (this.spread == Spread.MOVING && this.nowMs - this.movedMs >= 3_000) {
			moveTraffic();
		}
		List<Node> all = List.copyOf(this.nodes.values());
		while (this.owed >= 1) {
			this.owed--;
			int index = (this.spread == Spread.EVEN) ? this.random.nextInt(all.size()) : this.firstGateway;
			Node node = all.get(index % all.size());
			if (!node.killed) {
				node.accept();
			}
		}
	}

	private void startFault(Fault kind, long lengthMs) {
		List<Node> live = this.nodes.values().stream().filter(Node::isRunning).toList();
		if (live.isEmpty()) {
			return;
		}
		Node victim = this.random.nextBoolean() ? keeper(live) : live.get(this.random.nextInt(live.size()));
		switch (kind) {
			case KILL -> victim.kill(lengthMs);
			case FREEZE -> victim.freeze(lengthMs);
			case ISOLATE -> isolate(victim, lengthMs);
			case PARTITION -> partition(lengthMs);
			case LOSS -> lose(0.1 + 0.6 * this.random.nextDouble(), lengthMs);
			case JOIN -> join(1 + this.random.nextInt(2 * this.nodes.size()));
			case LEAVE -> leave(victim);
			case MOVE -> moveTraffic();
		}
	}

	private void moveTraffic() {
		this.movedMs = this.nowMs;
		this.firstGateway = this.random.nextInt(1_000);
	}

	private void lose(double rate, long lengthMs) {
		this.lossRate = rate;
		schedule(lengthMs, this::endLoss);
	}

	private void endLoss() {
		this.lossRate = 0;
	}

	private void endCut() {
		this.cut = Cut.NONE;
	}

	private Node keeper(List<Node> live) {
		return live.stream().max(Comparator.comparingInt((node) -> node.supporters)).orElseThrow();
	}

	private void isolate(Node victim, long lengthMs) {
		this.sides.clear();
		this.sides.put(victim.name, 1);
		victim.excuse(lengthMs);
		this.cut = Cut.values()[1 + this.random.nextInt(Cut.values().length - 1)];
		schedule(lengthMs, this::endCut);
	}

	private void partition(long lengthMs) {
		this.sides.clear();
		int sidesToMake = 2 + this.random.nextInt(2);
		this.nodes.keySet().forEach((name) -> this.sides.put(name, this.random.nextInt(sidesToMake)));
		this.nodes.values().forEach((node) -> node.excuse(lengthMs));
		this.cut = this.random.nextBoolean() ? Cut.LOSES : Cut.DELAYS;
		schedule(lengthMs, this::endCut);
	}

	private void join(int gateways) {
		if (this.nodes.size() > MAX_JOINED) {
			return;
		}
		List<String> names = IntStream.range(0, gateways).mapToObj((index) -> "j" + this.runs + "-" + index).toList();
		names.forEach(this::addNode);
		names.forEach((name) -> this.nodes.get(name).readList());
		this.nodes.values().forEach((node) -> schedule(this.random.nextInt(LIST_DELAY_MS), node::readList));
	}

	private void leave(Node victim) {
		if (this.nodes.size() > 1) {
			this.registered.remove(victim.name);
			this.nodes.remove(victim.name);
			victim.kill(Long.MAX_VALUE / 2);
		}
	}

	private void schedule(long afterMs, Runnable action) {
		this.events.add(new Event(this.nowMs + afterMs, this.eventOrder++, action));
	}

	private void deliver(String from, String to, Runnable action) {
		if (from.equals(to)) {
			schedule(0, action);
			return;
		}
		this.messages++;
		if (isCut(from, to)) {
			if (this.cut == Cut.DELAYS) {
				schedule(50, () -> deliver(from, to, action));
			}
			return;
		}
		if (this.random.nextDouble() < this.lossRate) {
			return;
		}
		schedule(delayMs(), action);
		if (this.faults.contains(Fault.LOSS) && this.random.nextInt(50) == 0) {
			schedule(delayMs(), action);
		}
	}

	private boolean isCut(String from, String to) {
		int fromSide = this.sides.getOrDefault(from, 0);
		int toSide = this.sides.getOrDefault(to, 0);
		return switch (this.cut) {
			case NONE -> false;
			case LOSES, DELAYS -> fromSide != toSide;
			case LOSES_OUTGOING -> fromSide == 1 && toSide != 1;
			case LOSES_INCOMING -> fromSide != 1 && toSide == 1;
		};
	}

	private long delayMs() {
		if (this.faults.contains(Fault.LOSS) && this.nowMs < this.faultsEndMs && this.random.nextInt(100) == 0) {
			return this.random.nextInt(4_000);
		}
		return this.random.nextInt(10);
	}

	LimitBound strictBound() {
		return this.strictBound;
	}

	LimitBound bound() {
		return this.bound;
	}

	/**
	 * Returns the largest numbers of gateways that support the same keeper.
	 * @return the numbers of the three largest groups
	 */
	List<Integer> groups() {
		return this.nodes.values()
			.stream()
			.filter((node) -> this.nowMs - node.lastGrantMs < PermitHolder.SUPPORT_MS)
			.map((node) -> node.supporters)
			.sorted(Comparator.reverseOrder())
			.limit(3)
			.toList();
	}

	int sent() {
		return this.sent;
	}

	int expired() {
		return this.expired;
	}

	int refused() {
		return this.refused;
	}

	long messages() {
		return this.messages;
	}

	/**
	 * Returns the longest time in which a gateway has sent nothing.
	 * @return the time in ms
	 */
	long longestSilenceMs() {
		return this.nodes.values()
			.stream()
			.mapToLong((node) -> Math.max(node.longestSilenceMs, this.nowMs - node.lastSentMs))
			.max()
			.orElseThrow();
	}

	/**
	 * Returns whether a gateway still keeps to a limit.
	 * @return whether any does
	 */
	boolean isLimited() {
		return this.nodes.values().stream().anyMatch((node) -> node.known.limitPerS(SERVER).isPresent());
	}

	/**
	 * The faults of a schedule. With LOSS, single messages are also repeated or delayed.
	 */
	enum Fault {

		/** A gateway is killed and starts again. */
		KILL,

		/** A gateway stops for a time; messages to it wait. */
		FREEZE,

		/** One gateway reaches no other, or is not reached by others. */
		ISOLATE,

		/** The gateways fall into two or three groups. */
		PARTITION,

		/** Messages are lost. */
		LOSS,

		/** Up to twice as many gateways as there are join. */
		JOIN,

		/** A gateway leaves. */
		LEAVE,

		/** All traffic moves to another gateway. */
		MOVE

	}

	/** The gateways that receive requests. */
	enum Spread {

		/** All gateways. */
		EVEN,

		/** One gateway. */
		ONE,

		/** One gateway, another one after some time. */
		MOVING

	}

	private enum Cut {

		NONE, LOSES, DELAYS, LOSES_OUTGOING, LOSES_INCOMING

	}

	/**
	 * Something that happens at a time.
	 *
	 * @param atMs the time
	 * @param order order among events of the same time
	 * @param action what happens
	 */
	private record Event(long atMs, long order, Runnable action) {

	}

	/**
	 * A request that waits.
	 *
	 * @param deadlineMs time until which it can be sent
	 */
	private record Request(long deadlineMs) {

	}

	/**
	 * A gateway.
	 */
	private final class Node {

		private final String name;

		private final long clockOffsetMs;

		private KnownLimits known;

		private MessageAges ages;

		private PermitHolder holder;

		private PermitKeeper keeper;

		private long run;

		private boolean killed;

		private long frozenUntilMs;

		private long excusedUntilMs;

		/** Time at which this gateway first passed on a response with a limit. */
		private long toldMs;

		/** Time since which it has known of a limit without interruption. */
		private long knownMs;

		/** The keeper that was last told of the limit, and the limit. */
		private String lastTold = "";

		private long lastWantedMs;

		private long lastSentMs;

		private long longestSilenceMs;

		private int supporters;

		private long lastGrantMs;

		private final Deque<Request> queue = new ArrayDeque<>();

		private final List<Runnable> inbox = new ArrayList<>();

		Node(String name) {
			this.name = name;
			this.clockOffsetMs = LimitSchedule.this.random.nextInt(1_000_000);
			this.lastSentMs = LimitSchedule.this.nowMs;
			start();
		}

		private void start() {
			this.run = ++LimitSchedule.this.runs;
			this.killed = false;
			this.toldMs = Long.MAX_VALUE / 2;
			this.knownMs = Long.MAX_VALUE / 2;
			this.supporters = 0;
			this.known = new KnownLimits();
			this.ages = new MessageAges();
			this.holder = new PermitHolder(this.name, this.run);
			this.keeper = new PermitKeeper(this.run);
		}

		private long clockMs() {
			return LimitSchedule.this.nowMs + this.clockOffsetMs;
		}

		boolean isRunning() {
			return !this.killed && LimitSchedule.this.nowMs >= this.frozenUntilMs;
		}

		void readList() {
			this.holder.setGateways(LimitSchedule.this.registered, clockMs());
			this.keeper.setGateways(LimitSchedule.this.registered, clockMs());
		}

		void kill(long lengthMs) {
			excuse(lengthMs);
			this.killed = true;
			this.run = -1;
			this.inbox.clear();
			this.queue.clear();
			schedule(lengthMs, () -> {
				start();
				readList();
			});
		}

		void excuse(long lengthMs) {
			this.excusedUntilMs = Math.max(this.excusedUntilMs,
					LimitSchedule.this.nowMs + lengthMs + LimitBound.CONTACT_MS);
		}

		void freeze(long lengthMs) {
			excuse(lengthMs);
			this.frozenUntilMs = LimitSchedule.this.nowMs + lengthMs;
		}

		void step() {
			if (!isRunning()) {
				return;
			}
			List<Runnable> received = List.copyOf(this.inbox);
			this.inbox.clear();
			received.forEach(Runnable::run);
			if (LimitSchedule.this.nowMs % LIST_INTERVAL_MS == 0) {
				readList();
			}
			serveQueue();
			this.holder.dueWishes(clockMs()).forEach(this::send);
			this.keeper.dueGrants(clockMs()).forEach(this::send);
		}

		/** A request waits only if it is expected to be in time. */
		void accept() {
			long waitMs = isRunning() ? this.holder.nextPermitInMs(SERVER, clockMs()).orElse(0) : 0;
			if (waitMs < DEADLINE_MS) {
				this.queue.addLast(new Request(LimitSchedule.this.nowMs + DEADLINE_MS));
			}
			else {
				LimitSchedule.this.refused++;
			}
		}

		private void serveQueue() {
			while (!this.queue.isEmpty() && this.queue.peekFirst().deadlineMs() < LimitSchedule.this.nowMs) {
				this.queue.removeFirst();
				LimitSchedule.this.expired++;
			}
			while (!this.queue.isEmpty() && this.holder.tryTake(SERVER, clockMs())) {
				this.queue.removeFirst();
				sendRequest();
			}
			if (!this.queue.isEmpty() && LimitSchedule.this.nowMs - this.lastWantedMs >= WANTED_INTERVAL_MS) {
				this.lastWantedMs = LimitSchedule.this.nowMs;
				this.queue.forEach((request) -> this.holder.onWanted(SERVER, clockMs()));
			}
		}

		private void sendRequest() {
			LimitSchedule.this.sent++;
			this.longestSilenceMs = Math.max(this.longestSilenceMs, LimitSchedule.this.nowMs - this.lastSentMs);
			this.lastSentMs = LimitSchedule.this.nowMs;
			long life = this.run;
			long sentMs = clockMs();
			schedule(LimitSchedule.this.random.nextInt(3), () -> {
				if (LimitSchedule.this.nowMs - sinceMs() >= LimitBound.TOLD_MS) {
					LimitSchedule.this.strictBound.onArrival();
					if (LimitSchedule.this.nowMs >= this.excusedUntilMs) {
						LimitSchedule.this.bound.onArrival();
					}
				}
				OptionalDouble namedThen = namedNow();
				schedule(5 + LimitSchedule.this.random.nextInt(25),
						() -> enqueue(life, () -> onResponse(namedThen, sentMs)));
			});
		}

		/** Time since which this gateway has known of the limit, or passed it on. */
		private long sinceMs() {
			long startMs = LimitSchedule.this.bound.startMs();
			return (startMs >= 0 && this.toldMs >= startMs) ? Math.min(this.toldMs, this.knownMs) : this.knownMs;
		}

		private void onResponse(OptionalDouble limitPerS, long sentMs) {
			if (limitPerS.isPresent() && LimitNews.isValid(limitPerS.getAsDouble())) {
				boolean first = this.toldMs < LimitSchedule.this.bound.startMs();
				LimitSchedule.this.bound.onTold(limitPerS.getAsDouble());
				LimitSchedule.this.strictBound.onTold(limitPerS.getAsDouble());
				this.toldMs = first ? LimitSchedule.this.nowMs : Math.min(this.toldMs, LimitSchedule.this.nowMs);
			}
			this.known.onResponse(SERVER, limitPerS, sentMs, clockMs()).ifPresent(this::tell);
			applyLimit();
		}

		private void tell(LimitNews news) {
			LimitSchedule.this.registered.keySet()
				.stream()
				.filter((other) -> !other.equals(this.name))
				.forEach((other) -> tell(other, news));
		}

		private void tell(String other, LimitNews news) {
			Node target = LimitSchedule.this.nodes.get(other);
			long sentAtMs = clockMs();
			long senderRun = this.run;
			long ageMs = sentAtMs - news.heardAtMs();
			deliver(this.name, other, () -> target.enqueue(target.run, () -> {
				long transitMs = target.ages.transitMs(this.name, senderRun, sentAtMs, target.clockMs());
				target.known.onNews(news.serverId(), news.limitPerS(), ageMs + transitMs, target.clockMs());
				target.applyLimit();
				target.correct(this, news, ageMs + transitMs);
			}));
		}

		/** Answers news that is older than what is known here. */
		private void correct(Node sender, LimitNews news, long ageMs) {
			this.known.correction(news.serverId(), news.limitPerS(), ageMs, clockMs())
				.filter((newest) -> LimitSchedule.this.nodes.containsKey(sender.name))
				.ifPresent((newest) -> tell(sender.name, newest));
		}

		private void applyLimit() {
			OptionalDouble limitPerS = this.known.limitPerS(SERVER);
			this.knownMs = limitPerS.isPresent() ? Math.min(this.knownMs, LimitSchedule.this.nowMs)
					: Long.MAX_VALUE / 2;
			this.holder.setLimit(SERVER, limitPerS, clockMs());
			this.keeper.setLimit(SERVER, limitPerS, clockMs());
		}

		private void send(OutgoingWish outgoing) {
			Node target = LimitSchedule.this.nodes.get(outgoing.gateway());
			if (target != null) {
				String told = outgoing.gateway() + this.known.limitPerS(SERVER);
				if (!told.equals(this.lastTold)) {
					this.lastTold = told;
					this.known.newest(SERVER).ifPresent((news) -> tell(target.name, news));
				}
				deliver(this.name, target.name,
						() -> target.enqueue(target.run, () -> target.answer(this, outgoing.wish())));
			}
		}

		private void answer(Node asking, PermitWish wish) {
			this.ages.transitMs(asking.name, wish.run(), wish.sequence(), clockMs());
			List<OutgoingGrant> grants = this.keeper.receive(asking.name, wish, clockMs());
			if (this.known.limitPerS(SERVER).isEmpty() && LimitSchedule.this.nodes.containsKey(asking.name)) {
				this.known.newest(SERVER).ifPresent((news) -> tell(asking.name, news));
			}
			grants.forEach(this::send);
		}

		private void send(OutgoingGrant outgoing) {
			this.supporters = outgoing.grant().supporters();
			this.lastGrantMs = LimitSchedule.this.nowMs;
			Node target = LimitSchedule.this.nodes.get(outgoing.gateway());
			if (target != null) {
				deliver(this.name, target.name, () -> target.enqueue(target.run,
						() -> target.holder.receive(this.name, outgoing.grant(), target.clockMs())));
			}
		}

		/** Messages to a frozen gateway wait in its socket. */
		private void enqueue(long life, Runnable message) {
			if (!this.killed && this.run == life) {
				this.inbox.add(message);
			}
		}

	}

}
