package io.anvilusher.logic.role;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RolePlannerTests {

	private static final long LOOK_MS = 1_500;

	private static List<EngineState> fleet(int prefill, int decode, int slots, int requestsAtDecode) {
		List<EngineState> engines = new ArrayList<>();
		IntStream.range(0, prefill)
			.forEach((index) -> engines
				.add(new EngineState("p" + index, "dc" + index % 3, EngineRole.PREFILL, slots, 0, false)));
		IntStream.range(0, decode)
			.forEach((index) -> engines.add(
					new EngineState("d" + index, "dc" + index % 3, EngineRole.DECODE, slots, requestsAtDecode, false)));
		return engines;
	}

	private static List<RoleChange> after(RolePlanner planner, List<EngineState> engines, long forMs) {
		List<RoleChange> changes = List.of();
		for (long nowMs = 0; nowMs <= forMs; nowMs += LOOK_MS) {
			changes = planner.plan(engines, nowMs);
		}
		return changes;
	}

	@Test
	public void enginesWithManySlotsReadPromptsBeforeAnyLoad() {
		List<RoleChange> changes = new RolePlanner().plan(fleet(3, 5, 64, 0), 0);
		assertEquals(changes.size(), 2);
		assertTrue(changes.stream().allMatch((change) -> change.role() == EngineRole.PREFILL));
	}

	@Test
	public void eachDataCentreKeepsAnEngineThatGenerates() {
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
	public void enginesWithFewSlotsStayBeforeAnyLoad() {
		assertEquals(new RolePlanner().plan(fleet(3, 7, 16, 0), 0), List.of());
	}

	@Test
	public void oneEngineAtATimeChangesUnderLoad() {
		List<RoleChange> changes = after(new RolePlanner(), fleet(3, 9, 16, 1), RolePlanner.OBSERVE_MS + LOOK_MS);
		assertEquals(changes.size(), 1);
		assertEquals(changes.get(0).role(), EngineRole.PREFILL);
		List<EngineState> changing = new ArrayList<>(fleet(3, 9, 16, 1));
		changing.set(3, new EngineState("d0", "dc0", EngineRole.DECODE, 16, 1, true));
		assertEquals(after(new RolePlanner(), changing, RolePlanner.OBSERVE_MS + LOOK_MS), List.of());
	}

	@Test
	public void enginesThatWorkAreNotTakenFromGeneration() {
		assertEquals(after(new RolePlanner(), fleet(3, 9, 64, RolePlanner.MAX_REQUESTS), 20_000), List.of());
	}

	@Test
	public void nothingChangesOnceTheLoadIsOver() {
		RolePlanner planner = new RolePlanner();
		after(planner, fleet(3, 9, 16, 1), 3_000);
		for (long nowMs = 3_000; nowMs < 60_000; nowMs += LOOK_MS) {
			assertEquals(planner.plan(fleet(3, 9, 16, 0), nowMs), List.of());
		}
	}

	@Test
	public void enginesGoBackToGenerationWhenSlotsGetScarce() {
		List<RoleChange> changes = new RolePlanner().plan(fleet(8, 4, 16, 15), 0);
		assertEquals(changes.size(), 1);
		assertEquals(changes.get(0).role(), EngineRole.DECODE);
	}

	@Test
	public void aQuarterOfTheEnginesKeepsOnReading() {
		assertEquals(new RolePlanner().plan(fleet(3, 9, 16, 16), 0), List.of());
	}

}
