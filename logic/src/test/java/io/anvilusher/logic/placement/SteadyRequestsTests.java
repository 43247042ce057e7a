package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Load pattern: bursts of long prompts on engines with few slots. For a moment a burst
 * occupies as many slots as long responses do, and a gateway that then avoids the engine
 * gets no newer load report from it.
 */
public class SteadyRequestsTests {

	private static final long TARGET_MS = 150;

	private static final PromptShape LONG = new PromptShape(9_000, 2,
			List.of(new PromptPart("s", 6_000), new PromptPart("q", 3_000)));

	private EnginePlacer placer;

	private List<TrackedServer> engines;

	@BeforeMethod
	public void createEngines() {
		this.placer = new EnginePlacer();
		this.engines = IntStream.range(0, 6)
			.mapToObj((index) -> new TrackedServer(new RegisteredServer("d" + index, 1, "llm", "10.0.0." + index + ":1",
					"a", 6, false, Optional.of(EngineRole.DECODE))))
			.toList();
	}

	private TrackedServer home(long nowMs) {
		return ((Placement.SingleServer) this.placer.place("r", LONG, this.engines, Set.of(), TARGET_MS, nowMs))
			.server();
	}

	@Test
	public void engineThatABurstFilledForAMomentStaysTheHome() {
		TrackedServer home = home(0);
		home.onLoadReport(1, 0, 100);
		home.onLoadReport(5, 0, 400);
		assertEquals(home(2_000), home);
	}

	@Test
	public void engineThatRunsLongResponsesIsAvoided() {
		TrackedServer home = home(0);
		IntStream.rangeClosed(1, 3).forEach((count) -> home.onLoadReport(4, 0, 100 * count));
		assertNotEquals(home(400), home);
	}

	@Test
	public void engineWithoutNewReportsIsUsedAgain() {
		TrackedServer home = home(0);
		IntStream.rangeClosed(1, 3).forEach((count) -> home.onLoadReport(4, 0, 100 * count));
		assertEquals(home(3_500), home);
	}

}
