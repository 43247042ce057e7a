package io.anvilusher.logic.allowance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.IntStream;

import io.anvilusher.model.routing.AllowanceUnit;
import io.anvilusher.model.routing.WorkspaceLimit;

/**
 * Simulates gateways that exchange reports and grants over a network that loses, repeats
 * and delays messages, and the traffic of several workspaces. A request is sent some time
 * after it was admitted. The same seed gives the same schedule.
 */
final class AllowanceSchedule {

	static final AllowanceTerms TERMS = new AllowanceTerms(8_000, 0.1, 120_000);

	static final WorkspaceLimit LIMIT = new WorkspaceLimit(1_627_250, 1_627_250, AllowanceUnit.TOKENS, 1_000);

	private static final int MEAN_COST = 9_200;

	private static final long STEP_MS = 5;

	/** Time between polls of the list of gateways. */
	private static final long LIST_DELAY_MS = 300;

	private final Random random;

	private final Set<Fault> faults;

	private final List<Node> nodes = new ArrayList<>();

	private final Map<String, Double> registered = new LinkedHashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

	private final Map<String, Traffic> traffic = new LinkedHashMap<>();

	private final List<String> violations = new ArrayList<>();

	/** Groups of gateways that reach each other; empty without a partition. */
	private final Map<String, Integer> sides = new HashMap<>();

	private long faultIntervalMs = 4_500;

	private double lossRate;

	private long eventOrder;

	private long nowMs = 1_000_000;

	private long runs;

	private int wronglyRefused;

	private int refused;

	private int admitted;

	private long mostUsed;

	private long messages;

	AllowanceSchedule(long seed, int gateways, Set<Fault> faults) {
		this.random = new Random(seed);
		this.faults = faults;
		IntStream.range(0, gateways).forEach((index) -> addNode("g" + index));
		this.nodes.forEach(Node::readList);
	}

	private void addNode(String name) {
		this.registered.put(name, 1.0 + this.random.nextInt(2));
		this.nodes.add(new Node(name));
	}

	/**
	 * Adds a workspace.
	 * @param name its name
	 * @param perS use per second at a time after the start, in ms
	 * @param gatewayIndexes how many gateways receive its traffic, starting at one that
	 * moves every moveMs
	 * @param moveMs time between moves; 0 if it never moves
	 * @param admittedPart part of the limit below which no request may be refused without
	 * faults
	 */
	void addTraffic(String name, LongFunction<Double> perS, int gatewayIndexes, long moveMs, double admittedPart) {
		this.traffic.put(name, new Traffic(name, perS, gatewayIndexes, moveMs, admittedPart));
		Map<String, WorkspaceLimit> limits = new HashMap<>();
		this.traffic.keySet().forEach((workspace) -> limits.put(workspace, LIMIT));
		this.nodes.forEach((node) -> node.setLimits(limits));
	}

	/**
	 * Sets the mean time between faults.
	 * @param intervalMs the time
	 */
	void setFaultInterval(long intervalMs) {
		this.faultIntervalMs = intervalMs;
	}

	/**
	 * Runs the schedule.
	 * @param quietMs time at the start without traffic
	 * @param durationMs time with traffic
	 */
	void run(long quietMs, long durationMs) {
		long startMs = this.nowMs + quietMs;
		long endMs = startMs + durationMs;
		if (!this.faults.isEmpty()) {
			scheduleFaults(startMs, endMs);
		}
		while (this.nowMs < endMs) {
			this.nowMs += STEP_MS;
			while (!this.events.isEmpty() && this.events.peek().atMs() <= this.nowMs) {
				this.events.poll().action().run();
			}
			if (this.nowMs >= startMs) {
				this.traffic.values().forEach((workspace) -> workspace.step(this.nowMs - startMs));
			}
			this.nodes.forEach(Node::step);
		}
	}

	/**
	 * Lets a gateway join while the others serve.
	 * @param afterMs time until then
	 * @param name its name
	 */
	void joinAfter(long afterMs, String name) {
		schedule(afterMs, () -> {
			Map<String, WorkspaceLimit> limits = new HashMap<>();
			this.traffic.keySet().forEach((workspace) -> limits.put(workspace, LIMIT));
			addNode(name);
			this.nodes.get(this.nodes.size() - 1).setLimits(limits);
			this.nodes.get(this.nodes.size() - 1).readList();
			this.nodes.forEach((node) -> schedule(this.random.nextLong(LIST_DELAY_MS), node::readList));
		});
	}

	private void scheduleFaults(long startMs, long endMs) {
		long atMs = startMs;
		while (atMs < endMs) {
			atMs += this.faultIntervalMs / 2 + this.random.nextLong(this.faultIntervalMs);
			Fault kind = this.faults.stream().sorted().toList().get(this.random.nextInt(this.faults.size()));
			long lengthMs = 200 + this.random.nextInt(9_000);
			schedule(atMs - this.nowMs, () -> startFault(kind, lengthMs));
		}
	}

	private void startFault(Fault kind, long lengthMs) {
		// Half of the faults hit the present allocator, if one can be told.
		List<Node> live = this.nodes.stream().filter(Node::isRunning).toList();
		if (live.size() < 2) {
			return;
		}
		Node victim = this.random.nextBoolean()
				? live.stream().max(Comparator.comparingInt((node) -> node.allocator.groupSize())).orElseThrow()
				: live.get(this.random.nextInt(live.size()));
		switch (kind) {
			case KILL -> victim.kill(lengthMs);
			case FREEZE -> victim.freeze(lengthMs);
			case ISOLATE -> partition(1, lengthMs);
			case PARTITION -> partition(2 + this.random.nextInt(2), lengthMs);
			case LOSS -> {
				this.lossRate = 0.3 + 0.5 * this.random.nextDouble();
				schedule(lengthMs, () -> this.lossRate = 0);
			}
			case MOVE -> this.traffic.values().forEach(Traffic::move);
		}
	}

	private void partition(int sidesToMake, long lengthMs) {
		this.sides.clear();
		if (sidesToMake == 1) {
			this.sides.put(this.nodes.get(this.random.nextInt(this.nodes.size())).name, 1);
		}
		else {
			this.nodes.forEach((node) -> this.sides.put(node.name, this.random.nextInt(sidesToMake)));
		}
		schedule(lengthMs, this.sides::clear);
	}

	private void schedule(long afterMs, Runnable action) {
		this.events.add(new Event(this.nowMs + afterMs, this.eventOrder++, action));
	}

	private void deliver(String from, String to, Runnable action) {
		this.messages++;
		if (from.equals(to)) {
			schedule(0, action);
			return;
		}
		boolean cut = !this.sides.getOrDefault(from, 0).equals(this.sides.getOrDefault(to, 0));
		if (cut || this.random.nextDouble() < this.lossRate) {
			return;
		}
		schedule(delayMs(), action);
		if (this.faults.contains(Fault.LOSS) && this.random.nextInt(50) == 0) {
			schedule(delayMs(), action);
		}
	}

	private long delayMs() {
		if (this.faults.contains(Fault.LOSS) && this.random.nextInt(100) == 0) {
			return this.random.nextInt(4_000);
		}
		return this.random.nextInt(10);
	}

	List<String> violations() {
		return this.violations;
	}

	int wronglyRefused() {
		return this.wronglyRefused;
	}

	int refused() {
		return this.refused;
	}

	int admitted() {
		return this.admitted;
	}

	double mostUsedOfBound() {
		return (double) this.mostUsed / bound();
	}

	long messages() {
		return this.messages;
	}

	static long bound() {
		return (long) (TERMS.capacity(LIMIT) + TERMS.overdraft(LIMIT));
	}

	/**
	 * The faults of a schedule. With LOSS, single messages are also repeated or delayed.
	 */
	enum Fault {

		/** A gateway is killed and starts again. */
		KILL,

		/** A gateway stops for a time; messages to it wait. */
		FREEZE,

		/** One gateway reaches no other. */
		ISOLATE,

		/** The gateways fall into two or three groups. */
		PARTITION,

		/** Messages are lost. */
		LOSS,

		/** All traffic moves to other gateways. */
		MOVE

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
	 * The requests of one workspace and the exact sum of those that reached a server.
	 */
	private final class Traffic {

		private final String name;

		private final LongFunction<Double> perS;

		private final int gateways;

		private final long moveMs;

		private final double admittedPart;

		private int firstGateway;

		private double owed;

		private long movedMs;

		private final List<long[]> arrived = new ArrayList<>();

		private int oldestArrived;

		private long inWindow;

		/** All requests that were made, whether admitted or not. */
		private final List<long[]> made = new ArrayList<>();

		private int oldestMade;

		private long madeInWindow;

		Traffic(String name, LongFunction<Double> perS, int gateways, long moveMs, double admittedPart) {
			this.admittedPart = admittedPart;
			this.name = name;
			this.perS = perS;
			this.gateways = gateways;
			this.moveMs = moveMs;
			this.firstGateway = AllowanceSchedule.this.random.nextInt(1_000);
		}

		void move() {
			this.firstGateway = AllowanceSchedule.this.random.nextInt(1_000);
			this.movedMs = AllowanceSchedule.this.nowMs;
		}

		void step(long sinceStartMs) {
			if (this.moveMs > 0 && AllowanceSchedule.this.nowMs - this.movedMs >= this.moveMs) {
				move();
			}
			this.owed += this.perS.apply(sinceStartMs) * STEP_MS / 1_000;
			while (this.owed > 0) {
				int cost = 200 + AllowanceSchedule.this.random.nextInt(2 * MEAN_COST - 400);
				this.owed -= cost;
				request(cost);
			}
		}

		private void request(int cost) {
			List<Node> all = AllowanceSchedule.this.nodes.stream().filter((node) -> node.ready).toList();
			int index = this.firstGateway + AllowanceSchedule.this.random.nextInt(this.gateways);
			Node node = all.get(index % all.size());
			if (!node.isRunning()) {
				return;
			}
			long now = AllowanceSchedule.this.nowMs;
			while (this.oldestMade < this.made.size() && this.made.get(this.oldestMade)[0] <= now - TERMS.windowMs()) {
				this.madeInWindow -= this.made.get(this.oldestMade)[1];
				this.oldestMade++;
			}
			this.made.add(new long[] { now, cost });
			this.madeInWindow += cost;
			AllowanceDecision decision = node.local.admit(this.name, cost, now);
			if (decision instanceof AllowanceDecision.Admitted accepted) {
				AllowanceSchedule.this.admitted++;
				long queuedMs = (AllowanceSchedule.this.random.nextInt(20) == 0)
						? AllowanceSchedule.this.random.nextInt(2_000) : AllowanceSchedule.this.random.nextInt(20);
				long life = node.run;
				schedule(queuedMs, () -> send(node, life, accepted.charge()));
				return;
			}
			AllowanceSchedule.this.refused++;
			if (this.madeInWindow <= TERMS.capacity(LIMIT) * this.admittedPart) {
				AllowanceSchedule.this.wronglyRefused++;
			}
		}

		private void send(Node node, long life, AllowanceCharge charge) {
			if (node.run != life) {
				return;
			}
			if (node.frozenUntilMs > AllowanceSchedule.this.nowMs) {
				schedule(node.frozenUntilMs - AllowanceSchedule.this.nowMs, () -> send(node, life, charge));
				return;
			}
			if (AllowanceSchedule.this.random.nextInt(50) == 0) {
				node.local.giveBack(charge, AllowanceSchedule.this.nowMs);
				return;
			}
			node.local.markSent(charge, AllowanceSchedule.this.nowMs);
			schedule(AllowanceSchedule.this.random.nextInt(3), () -> arrive(charge.cost()));
		}

		private void arrive(long cost) {
			long now = AllowanceSchedule.this.nowMs;
			this.arrived.add(new long[] { now, cost });
			this.inWindow += cost;
			while (this.arrived.get(this.oldestArrived)[0] <= now - TERMS.windowMs()) {
				this.inWindow -= this.arrived.get(this.oldestArrived)[1];
				this.oldestArrived++;
			}
			AllowanceSchedule.this.mostUsed = Math.max(AllowanceSchedule.this.mostUsed, this.inWindow);
			if (this.inWindow > bound()) {
				AllowanceSchedule.this.violations
					.add(this.name + " used " + this.inWindow + " of " + bound() + " at " + now);
			}
		}

	}

	/**
	 * A gateway.
	 */
	private final class Node {

		private final String name;

		private LocalAllowance local;

		private AllowanceAllocator allocator;

		private long run;

		private boolean killed;

		/** A gateway gets no traffic before its first grant; the load balancer waits. */
		private boolean ready;

		private long frozenUntilMs;

		private Map<String, WorkspaceLimit> limits = Map.of();

		private final List<Runnable> inbox = new ArrayList<>();

		private final Set<Long> lives = new HashSet<>();

		Node(String name) {
			this.name = name;
			start();
		}

		private void start() {
			this.run = ++AllowanceSchedule.this.runs;
			this.lives.add(this.run);
			this.killed = false;
			this.ready = false;
			this.local = new LocalAllowance(TERMS, this.name, this.run);
			this.allocator = new AllowanceAllocator(TERMS, this.run);
			setLimits(this.limits);
		}

		void setLimits(Map<String, WorkspaceLimit> newLimits) {
			this.limits = Map.copyOf(newLimits);
			this.local.setLimits(newLimits, AllowanceSchedule.this.nowMs);
			this.allocator.setLimits(newLimits);
		}

		boolean isRunning() {
			return !this.killed && AllowanceSchedule.this.nowMs >= this.frozenUntilMs;
		}

		void readList() {
			this.local.setGateways(AllowanceSchedule.this.registered, AllowanceSchedule.this.nowMs);
			this.allocator.setGateways(AllowanceSchedule.this.registered, AllowanceSchedule.this.nowMs);
		}

		void kill(long lengthMs) {
			this.killed = true;
			this.run = -1;
			this.inbox.clear();
			schedule(lengthMs, () -> {
				start();
				readList();
			});
		}

		void freeze(long lengthMs) {
			this.frozenUntilMs = AllowanceSchedule.this.nowMs + lengthMs;
		}

		void step() {
			if (!isRunning()) {
				return;
			}
			List<Runnable> received = List.copyOf(this.inbox);
			this.inbox.clear();
			received.forEach(Runnable::run);
			if (AllowanceSchedule.this.nowMs % 5_000 == 0) {
				readList();
			}
			this.ready |= this.local.isReady(AllowanceSchedule.this.nowMs);
			this.local.dueReports(AllowanceSchedule.this.nowMs).forEach(this::send);
			this.allocator.dueGrants(AllowanceSchedule.this.nowMs).forEach(this::send);
		}

		private void send(OutgoingReport outgoing) {
			Node target = find(outgoing.gateway());
			deliver(this.name, target.name,
					() -> target.enqueue(
							() -> target.allocator.receive(this.name, outgoing.report(), AllowanceSchedule.this.nowMs)
								.forEach(target::send)));
		}

		private void send(OutgoingGrant outgoing) {
			Node target = find(outgoing.gateway());
			deliver(this.name, target.name, () -> target
				.enqueue(() -> target.local.receive(this.name, outgoing.grant(), AllowanceSchedule.this.nowMs)));
		}

		private Node find(String gateway) {
			return AllowanceSchedule.this.nodes.stream()
				.filter((node) -> node.name.equals(gateway))
				.findFirst()
				.orElseThrow();
		}

		/** Messages to a frozen gateway wait in its socket. */
		private void enqueue(Runnable message) {
			if (!this.killed) {
				this.inbox.add(message);
			}
		}

	}

}
