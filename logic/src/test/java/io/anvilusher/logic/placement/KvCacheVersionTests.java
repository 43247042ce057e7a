package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.placement.coordinated.PlacementCoordinator;
import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.logic.placement.coordinated.PlacementRequest;
import io.anvilusher.logic.placement.coordinated.RequestKey;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a KV cache that an engine of another software version computed.
 */
public class KvCacheVersionTests {

	private static final long TARGET_MS = 200;

	private static final int PROMPTS = 60;

	private static final RegisteredServer PREFILL_V1 = engine("p1", EngineRole.PREFILL, "v1");

	private static final RegisteredServer DECODE_V1 = engine("d1", EngineRole.DECODE, "v1");

	private static final RegisteredServer DECODE_V2 = engine("d2", EngineRole.DECODE, "v2");

	private static RegisteredServer engine(String id, EngineRole role, String version) {
		return new RegisteredServer(id, 1, "llm", "10.0.0.1:1", "a", 64, false, Optional.of(role), version);
	}

	private static PromptShape prompt(int number) {
		return new PromptShape(9_000, 2,
				List.of(new PromptPart("d" + number, 6_000), new PromptPart("q" + number, 3_000)));
	}

	private static List<TrackedServer> tracked(RegisteredServer... servers) {
		return Stream.of(servers).map(TrackedServer::new).toList();
	}

	// Each prompt finds idle engines, so that only its parts decide between them.
	private static List<Placement> place(RegisteredServer... servers) {
		return IntStream.range(0, PROMPTS)
			.mapToObj(
					(number) -> new EnginePlacer().place("r", prompt(number), tracked(servers), Set.of(), TARGET_MS, 0))
			.toList();
	}

	@Test
	public void decodeEngineHasTheVersionOfThePrefillEngine() {
		List<Placement.Split> splits = place(DECODE_V2, PREFILL_V1, DECODE_V1).stream()
			.filter(Placement.Split.class::isInstance)
			.map(Placement.Split.class::cast)
			.toList();
		assertFalse(splits.isEmpty());
		splits.forEach((split) -> assertEquals(split.decode().server(), DECODE_V1));
	}

	@Test
	public void prefillEngineWithoutADecodeEngineOfItsVersionIsNotUsed() {
		place(PREFILL_V1, DECODE_V2)
			.forEach((placement) -> assertEquals(((Placement.SingleServer) placement).server().server(), DECODE_V2));
	}

	@Test
	public void noEngineOfAnotherVersionFetchesAKvCache() {
		List<TrackedServer> engines = tracked(PREFILL_V1, DECODE_V2);
		assertEquals(new EnginePlacer().placeDecode(engines.get(0), engines, Set.of(), TARGET_MS, 0), Optional.empty());
	}

	private static List<PlacementDecision.Assigned> coordinate(RegisteredServer... servers) {
		return IntStream.range(0, PROMPTS).mapToObj((number) -> {
			PlacementCoordinator coordinator = new PlacementCoordinator(300_000, new Random(1));
			coordinator.updateEngines(List.of(servers), 0);
			return (PlacementDecision.Assigned) coordinator
				.onRequest(new PlacementRequest(new RequestKey("g", number), prompt(number), TARGET_MS, 2_000, 0, 0,
						Set.of()), 0)
				.orElseThrow();
		}).toList();
	}

	@DataProvider
	public Object[][] prefillEngines() {
		return new Object[][] { { PREFILL_V1, "d1" }, { engine("p2", EngineRole.PREFILL, "v2"), "d2" } };
	}

	@Test(dataProvider = "prefillEngines")
	public void coordinatorKeepsAPairToOneVersion(RegisteredServer prefill, String decodeId) {
		List<PlacementDecision.Assigned> pairs = coordinate(DECODE_V2, prefill, DECODE_V1).stream()
			.filter((assigned) -> assigned.decodeEngineId().isPresent())
			.toList();
		assertFalse(pairs.isEmpty());
		pairs.forEach((pair) -> assertEquals(pair.decodeEngineId(), Optional.of(decodeId)));
	}

	@Test
	public void coordinatorDoesNotUseAPrefillEngineWithoutAPair() {
		coordinate(PREFILL_V1, DECODE_V2).forEach((assigned) -> {
			assertEquals(assigned.engineId(), "d2");
			assertTrue(assigned.decodeEngineId().isEmpty());
		});
	}

}
