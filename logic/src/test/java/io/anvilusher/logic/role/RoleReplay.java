package io.anvilusher.logic.role;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import io.anvilusher.model.fleet.EngineRole;

/**
 * Simulates engines that change their role by order while no request arrives. Reports lag
 * behind, answers to orders get lost, and orders are carried out late or not at all.
 */
final class RoleReplay {

	private static final long STEP_MS = 100;

	private static final long POLL_MS = 1_500;

	private static final long REPORT_LAG_MS = 400;

	private static final long CHANGE_MS = 3_000;

	private static final int DATA_CENTRES = 3;

	private final Random random;

	private final Faults faults;

	private final int slots;

	private final List<SimulatedEngine> engines;

	private final RolePlanner planner = new RolePlanner();

	private final PendingOrders pendingOrders = new PendingOrders();

	private int lowestDecodeCount = Integer.MAX_VALUE;

	RoleReplay(long seed, int prefill, int decode, int slots, Faults faults) {
		this.random = new Random(seed);
		this.faults = faults;
		this.slots = slots;
		this.engines = IntStream.range(0, prefill + decode)
			.mapToObj((index) -> new SimulatedEngine("e" + index, "dc" + index % DATA_CENTRES,
					(index < prefill) ? EngineRole.PREFILL : EngineRole.DECODE))
			.toList();
	}

	void run(long lengthMs) {
		for (long nowMs = 0; nowMs <= lengthMs; nowMs += STEP_MS) {
			long stepMs = nowMs;
			this.engines.forEach((engine) -> engine.advance(stepMs));
			if (nowMs % POLL_MS == 0) {
				poll(nowMs);
			}
			this.lowestDecodeCount = Math.min(this.lowestDecodeCount, decodeCount());
		}
	}

	private void poll(long nowMs) {
		List<EngineState> states = this.engines.stream().map((engine) -> engine.state(nowMs)).toList();
		this.planner.plan(states, nowMs).forEach((change) -> order(change, nowMs));
	}

	private void order(RoleChange change, long nowMs) {
		this.pendingOrders.onSent(change.engineId(), change.role(), nowMs);
		SimulatedEngine target = this.engines.stream()
			.filter((engine) -> engine.id.equals(change.engineId()))
			.findFirst()
			.orElseThrow();
		double draw = this.random.nextDouble();
		if (draw < this.faults.lostShare()) {
			return;
		}
		long delayMs = (draw < this.faults.lostShare() + this.faults.lateShare()) ? this.random.nextLong(6_000) : 0;
		target.accept(change.role(), nowMs + delayMs);
	}

	int decodeCount() {
		return (int) this.engines.stream().filter(SimulatedEngine::isDecode).count();
	}

	int lowestDecodeCount() {
		return this.lowestDecodeCount;
	}

	int dataCentresWithoutDecode() {
		return DATA_CENTRES - (int) this.engines.stream()
			.filter(SimulatedEngine::isDecode)
			.map((engine) -> engine.dataCentre)
			.distinct()
			.count();
	}

	/**
	 * What happens to orders.
	 *
	 * @param lostShare share of the orders that never arrive
	 * @param lateShare share of the orders that arrive late
	 */
	record Faults(double lostShare, double lateShare) {

		static final Faults NONE = new Faults(0, 0);

		static final Faults LOST_ANSWERS_AND_LATE_ORDERS = new Faults(0.2, 0.4);

	}

	private record ReportedState(long atMs, EngineRole role, boolean changing) {

	}

	private final class SimulatedEngine {

		private final String id;

		private final String dataCentre;

		private final List<ReportedState> history = new ArrayList<>();

		private EngineRole role;

		private EngineRole orderedRole;

		private long orderAtMs = Long.MAX_VALUE;

		private boolean changing;

		private SimulatedEngine(String id, String dataCentre, EngineRole role) {
			this.id = id;
			this.dataCentre = dataCentre;
			this.role = role;
			this.orderedRole = role;
			this.history.add(new ReportedState(Long.MIN_VALUE, role, false));
		}

		private void accept(EngineRole newRole, long atMs) {
			this.orderedRole = newRole;
			this.orderAtMs = atMs;
		}

		private void advance(long nowMs) {
			if (this.orderAtMs <= nowMs) {
				this.changing = true;
			}
			if (this.changing && nowMs >= this.orderAtMs + CHANGE_MS) {
				this.role = this.orderedRole;
				this.changing = false;
				this.orderAtMs = Long.MAX_VALUE;
			}
			this.history.add(new ReportedState(nowMs, this.role, this.changing));
		}

		private boolean isDecode() {
			return this.role == EngineRole.DECODE && !this.changing;
		}

		private EngineState state(long nowMs) {
			ReportedState report = this.history.stream()
				.filter((state) -> state.atMs() <= nowMs - REPORT_LAG_MS)
				.reduce((first, second) -> second)
				.orElseThrow();
			var pendingRole = RoleReplay.this.pendingOrders.onReport(this.id, report.role(), report.changing(), nowMs);
			return new EngineState(this.id, this.dataCentre, "v1", report.role(), pendingRole, RoleReplay.this.slots, 0,
					report.changing() || pendingRole.isPresent(), false);
		}

	}

}
