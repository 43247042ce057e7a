package io.anvilusher.logic.scale;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.model.config.ScaleSpec;
import io.anvilusher.model.scale.ScaleKind;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class FleetPlannerTests {

	private final FleetPlanner planner = new FleetPlanner(1000);

	private static FleetLoad load(int servers, double demand, double weight) {
		List<String> names = IntStream.range(0, servers).mapToObj((i) -> "s" + i).toList();
		return new FleetLoad("dc", "guide", new ScaleSpec(1, 6, weight), names, 0, demand, 10);
	}

	@Test
	public void fleetGrowsAsSoonAsTheDemandNeedsIt() {
		assertEquals(this.planner.plan(0, load(2, 19, 1)).orElseThrow().kind(), ScaleKind.ORDER);
	}

	@Test
	public void shortDropInDemandReleasesNoServer() {
		assertFalse(this.planner.plan(0, load(4, 5, 1)).isPresent());
		assertFalse(this.planner.plan(999, load(4, 5, 1)).isPresent());
		assertFalse(this.planner.plan(1500, load(4, 29, 1)).isPresent());
		assertFalse(this.planner.plan(2000, load(4, 5, 1)).isPresent());
	}

	@Test
	public void longDropInDemandReleasesOneServer() {
		this.planner.plan(0, load(4, 5, 1));
		assertEquals(this.planner.plan(1000, load(4, 5, 1)).orElseThrow().kind(), ScaleKind.RELEASE);
		assertFalse(this.planner.plan(1001, load(3, 5, 1)).isPresent());
	}

	@Test
	public void fleetStaysWithinItsLimits() {
		assertFalse(this.planner.plan(0, load(6, 600, 1)).isPresent());
		this.planner.plan(0, load(1, 0, 1));
		assertFalse(this.planner.plan(10_000, load(1, 0, 1)).isPresent());
	}

	@Test
	public void higherGoodputWeightKeepsMoreServers() {
		assertTrue(this.planner.plan(0, load(3, 20, 8)).isPresent());
		assertFalse(this.planner.plan(0, load(3, 20, 1)).isPresent());
	}

}
