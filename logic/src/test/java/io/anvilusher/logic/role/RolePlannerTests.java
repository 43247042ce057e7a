package io.anvilusher.logic.role;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RolePlannerTests {

	private static final long POLL_MS = 1_500;

	private static List<EngineState> fleet(int prefill, int decode, int slots, int requestsAtDecode) {
		return Stream
			.concat(IntStream.range(0, prefill)
				.mapToObj((index) -> engine("p" + index, EngineRole.PREFILL, slots, 0, false)),
					IntStream.range(0, decode)
						.mapToObj((index) -> engine("d" + index, EngineRole.DECODE, slots, requestsAtDecode, false)))
			.toList();
	}

	private static EngineState engine(String id, EngineRole role, int slots, int requests, boolean changedByOrder) {
		return new EngineState(id, "dc" + Integer.parseInt(id.substring(1)) % 3, "v1", role, Optional.empty(), slots,
				requests, false, changedByOrder);
	}

	@Test
	public void enginesWithManySlotsGetThePrefillRoleBeforeAnyLoad() {
		List<RoleChange> changes = new RolePlanner().plan(fleet(3, 5, 64, 0), 0);
		assertEquals(changes.size(), 2);
		assertTrue(changes.stream().allMatch((change) -> change.role() == EngineRole.PREFILL));
	}

	@Test
	public void eachDataCentreKeepsADecodeEngine() {
		assertEquals(new RolePlanner().plan(fleet(5, 3, 64, 0), 0), List.of());
		List<String> changed = new RolePlanner().plan(fleet(3, 9, 256, 0), 0)
			.stream()
			.map((change) -> change.engineId().substring(1))
			.map((index) -> "dc" + Integer.parseInt(index) % 3)
			.distinct()
			.toList();
		assertEquals(changed.size(), 3);
	}

	@Test
	public void enginesWithFewSlotsKeepTheirRoleBeforeAnyLoad() {
		assertEquals(new RolePlanner().plan(fleet(3, 7, 8, 0), 0), List.of());
	}

	@Test
	public void decodeEnginesKeepTheirRoleUnderLoad() {
		RolePlanner planner = new RolePlanner();
		for (long nowMs = 0; nowMs < 60_000; nowMs += POLL_MS) {
			assertEquals(planner.plan(fleet(3, 9, 64, 1), nowMs), List.of());
		}
	}

	@Test
	public void nothingChangesOnceTheLoadIsOver() {
		RolePlanner planner = new RolePlanner();
		planner.plan(fleet(3, 9, 64, 1), 0);
		for (long nowMs = POLL_MS; nowMs < 60_000; nowMs += POLL_MS) {
			assertEquals(planner.plan(fleet(3, 9, 64, 0), nowMs), List.of());
		}
	}

	@Test
	public void changedEngineReturnsToDecodeWhenSlotsGetScarce() {
		List<EngineState> engines = new ArrayList<>(fleet(3, 4, 16, 15));
		engines.add(engine("p3", EngineRole.PREFILL, 16, 0, true));
		engines.add(engine("p4", EngineRole.PREFILL, 16, 0, true));
		List<RoleChange> changes = new RolePlanner().plan(engines, 0);
		assertEquals(changes.size(), 1);
		assertTrue(changes.get(0).engineId().matches("p[34]"));
		assertEquals(changes.get(0).role(), EngineRole.DECODE);
	}

	@Test
	public void enginesReturnToDecodeOneAtATime() {
		List<EngineState> engines = new ArrayList<>(fleet(3, 4, 16, 15));
		engines.add(new EngineState("p3", "dc0", "v1", EngineRole.PREFILL, Optional.of(EngineRole.DECODE), 16, 0, true,
				true));
		engines.add(engine("p4", EngineRole.PREFILL, 16, 0, true));
		assertEquals(new RolePlanner().plan(engines, 0), List.of());
	}

	/**
	 * Guards against turning engines that started with the prefill role into decode
	 * engines: after engine crashes, prefill capacity may be scarcer than decode slots.
	 */
	@Test
	public void initialPrefillEnginesKeepTheirRoleWhenSlotsGetScarce() {
		assertEquals(new RolePlanner().plan(fleet(8, 4, 16, 16), 0), List.of());
	}

	@DataProvider
	public Object[][] seeds() {
		return LongStream.range(0, 60).mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	/**
	 * Guards against an outage in which all engines were ordered to the prefill role,
	 * because engines that had accepted an order still reported the decode role.
	 */
	@Test
	public void engineWithAPendingOrderDoesNotCountAsDecodeEngine() {
		RoleReplay replay = new RoleReplay(1, 3, 5, 64, RoleReplay.Faults.NONE);
		replay.run(20_000);
		assertEquals(replay.lowestDecodeCount(), 3);
		assertEquals(replay.decodeCount(), 3);
	}

	@Test(dataProvider = "seeds")
	public void ordersNeverLeaveTooFewDecodeEngines(long seed) {
		RoleReplay replay = new RoleReplay(seed, 4, 9, 64, RoleReplay.Faults.LOST_ANSWERS_AND_LATE_ORDERS);
		replay.run(60_000);
		assertTrue(replay.lowestDecodeCount() >= 5, "lowest decode count " + replay.lowestDecodeCount());
		assertEquals(replay.dataCentresWithoutDecode(), 0);
	}

	@Test(dataProvider = "seeds")
	public void fleetRecoversWithoutLoadFromAnyState(long seed) {
		RoleReplay replay = new RoleReplay(seed, 13, 0, 64, RoleReplay.Faults.LOST_ANSWERS_AND_LATE_ORDERS);
		replay.run(60_000);
		assertTrue(replay.decodeCount() >= 5, "decode count " + replay.decodeCount());
	}

	private static EngineState ofVersion(EngineState engine, String version) {
		return new EngineState(engine.id(), engine.dataCentre(), version, engine.role(), engine.pendingRole(),
				engine.slots(), engine.requests(), engine.changing(), engine.changedByOrder());
	}

	/**
	 * Guards against streams that cannot go on because two engines of their version
	 * crashed.
	 */
	@Test
	public void eachOfTwoVersionsKeepsTwoDecodeEngines() {
		List<EngineState> engines = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			EngineRole role = (index % 4 == 0) ? EngineRole.DECODE : EngineRole.PREFILL;
			engines.add(ofVersion(engine("e" + index, role, 64, 1, false), (index < 4) ? "v1" : "v2"));
		}
		List<RoleChange> changes = new RolePlanner().plan(engines, 0);
		assertEquals(changes.stream().map(RoleChange::role).distinct().toList(), List.of(EngineRole.DECODE));
		assertEquals(changes.stream().map(RoleChange::engineId).filter((id) -> id.compareTo("e4") < 0).count(), 1);
		assertEquals(changes.size(), 2);
		List<EngineState> oneVersion = engines.stream().map((engine) -> ofVersion(engine, "v1")).toList();
		assertEquals(new RolePlanner().plan(oneVersion, 0).size(), 1);
	}

}
