package io.anvilusher.logic.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against sending further requests to an engine whose slots are all occupied by
 * long responses to other gateways. With many gateways and few slots, a gateway notices
 * this only because its own requests at the engine get no response.
 */
public class StalledEngineTests {

	private static final long TARGET_MS = 200;

	private static final PromptShape SHORT = new PromptShape(200, 50, List.of(new PromptPart("q", 200)));

	private static final PromptShape LONG = new PromptShape(9_000, 2,
			List.of(new PromptPart("s", 6_000), new PromptPart("q", 3_000)));

	private final EnginePlacer placer = new EnginePlacer();

	private static List<TrackedServer> decodeEngines(int count) {
		return IntStream.range(0, count)
			.mapToObj((index) -> new TrackedServer(new RegisteredServer("d" + index, 1, "llm", "10.0.0." + index + ":1",
					"a", 8, false, Optional.of(EngineRole.DECODE))))
			.toList();
	}

	private static TrackedServer send(Placement placement, long nowMs) {
		Placement.SingleServer single = (Placement.SingleServer) placement;
		single.server().onSent(nowMs);
		single.server().window().onSent(single.uncachedTokens(), nowMs);
		return single.server();
	}

	@Test
	public void shortPromptAvoidsAnEngineThatDoesNotRespond() {
		List<TrackedServer> engines = decodeEngines(4);
		engines.forEach((engine) -> engine.onLoadReport(0, 0, 0));
		TrackedServer first = send(this.placer.place("r", SHORT, engines, Set.of(), TARGET_MS, 0), 0);
		assertEquals(send(this.placer.place("r", SHORT, engines, Set.of(), TARGET_MS, 20), 20), first);
		assertNotEquals(send(this.placer.place("r", SHORT, engines, Set.of(), TARGET_MS, 150), 150), first);
	}

	@Test
	public void longPromptAvoidsAHomeThatDoesNotRespond() {
		List<TrackedServer> engines = decodeEngines(4);
		TrackedServer home = send(this.placer.place("r", LONG, engines, Set.of(), TARGET_MS, 0), 0);
		home.onPromptPrefilled(LONG.sharedParts());
		assertEquals(((Placement.SingleServer) this.placer.place("r", LONG, engines, Set.of(), TARGET_MS, 20)).server(),
				home);
		assertNotEquals(
				((Placement.SingleServer) this.placer.place("r", LONG, engines, Set.of(), TARGET_MS, 150)).server(),
				home);
	}

	@Test
	public void engineThatPrefillsOnePromptAfterAnotherIsNotStalled() {
		PromptWindow window = new PromptWindow();
		window.onSent(100, 0);
		window.onSent(100, 0);
		window.onSettled(100, 100);
		assertFalse(window.isStalled(TARGET_MS, 200));
		assertTrue(window.isStalled(TARGET_MS, 240));
		window.onSettled(100, 250);
		assertFalse(window.isStalled(TARGET_MS, 1_000));
	}

	@Test
	public void kvCacheIsFetchedByAnEngineThatIsNotStalled() {
		List<TrackedServer> engines = decodeEngines(2);
		TrackedServer source = new TrackedServer(
				new RegisteredServer("p", 1, "llm", "10.0.1.1:1", "a", 8, false, Optional.of(EngineRole.PREFILL)));
		engines.get(0).window().onSent(1, 0);
		assertEquals(this.placer.placeDecode(source, engines, Set.of(), TARGET_MS, 300).orElseThrow(), engines.get(1));
	}

	/**
	 * Guards against all gateways sending their short prompts to the first engine while
	 * none of them knows what the others sent.
	 */
	@Test
	public void shortPromptsSpreadWithoutLoadReports() {
		EnginePlacer newPlacer = new EnginePlacer();
		List<TrackedServer> engines = decodeEngines(25);
		Set<TrackedServer> used = new HashSet<>();
		for (int index = 0; index < 100; index++) {
			PromptShape prompt = new PromptShape(200, 50, List.of(new PromptPart("q" + index, 200)));
			used.add(((Placement.SingleServer) newPlacer.place("r", prompt, engines, Set.of(), TARGET_MS, 0)).server());
		}
		assertEquals(used.size(), 4);
	}

	/** Guards against a busy gateway that takes its own delay for servers that hang. */
	@Test
	public void ownDelayOfTheGatewayIsNotHeldAgainstItsServers() {
		TrackedServer engine = decodeEngines(1).get(0);
		engine.onSent(0);
		engine.window().onSent(9_000, 0);
		assertTrue(engine.window().isStalled(TARGET_MS, 1_000));
		assertTrue(engine.health().isUnhealthy(1_000));
		engine.onObserverDelay(950, 1_000);
		assertFalse(engine.window().isStalled(TARGET_MS, 1_000));
		assertFalse(engine.health().isUnhealthy(1_000));
		assertEquals(engine.observerDelayMs(), 950);
		assertTrue(engine.window().isStalled(TARGET_MS, 2_000));
		assertTrue(engine.health().isUnhealthy(2_000));
	}

	/** Guards against an engine that hangs unnoticed while the gateway is often late. */
	@Test
	public void repeatedDelaysOfTheGatewayDoNotHideAnEngineThatHangs() {
		TrackedServer engine = decodeEngines(1).get(0);
		engine.onSent(0);
		engine.window().onSent(9_000, 0);
		LongStream.rangeClosed(1, 10).forEach((count) -> engine.onObserverDelay(60, count * 100));
		assertTrue(engine.window().isStalled(TARGET_MS, 1_000));
		engine.onObserverDelay(5_000, 1_000);
		assertFalse(engine.window().isStalled(TARGET_MS, 1_000 + TARGET_MS / 2));
		assertTrue(engine.window().isStalled(TARGET_MS, 1_000 + TARGET_MS));
	}

}
