package io.anvilusher.logic.placement;

import java.util.List;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class OverloadReplayTests {

	private static final double LENGTH_MS = 12_000;

	private static final DoubleUnaryOperator MODERATE = (atMs) -> 0.17;

	/** Alternates between low load and bursts of 2.8 s above the prefill capacity. */
	private static final DoubleUnaryOperator BURSTS = (atMs) -> ((long) (atMs / 2_800) % 2 == 0) ? 0.1 : 0.6;

	private static final DoubleUnaryOperator OVERLOAD = (atMs) -> 0.8;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L }, { 5L }, { 6L }, { 7L }, { 8L }, { 9L }, { 10L } };
	}

	@Test(dataProvider = "seeds")
	public void moderateLoadIsServedInTarget(long seed) {
		LoadReplay result = new LoadReplay(seed).simulate(LENGTH_MS, MODERATE, LoadReplay.enginePlacer());
		int total = result.inTarget() + result.late() + result.rejected();
		assertTrue(result.inTarget() > 0.9 * total, result.toString());
	}

	@Test(dataProvider = "seeds")
	public void burstsServeMoreInTargetThanFewestPendingTokens(long seed) {
		LoadReplay result = new LoadReplay(seed).simulate(LENGTH_MS, BURSTS, LoadReplay.enginePlacer());
		LoadReplay baseline = new LoadReplay(seed).simulate(LENGTH_MS, BURSTS, LoadReplay.fewestPendingTokens());
		assertTrue(result.inTarget() > 1.15 * baseline.inTarget(), result + " against " + baseline);
	}

	@Test(dataProvider = "seeds")
	public void lastingOverloadKeepsServedRequestsInTarget(long seed) {
		LoadReplay result = new LoadReplay(seed).simulate(LENGTH_MS, OVERLOAD, LoadReplay.enginePlacer());
		assertTrue(result.inTarget() > 2 * result.late(), result.toString());
	}

	/**
	 * Prompts of medium size with short responses on engines with many slots: the prefill
	 * of one prompt after another delays all streams of an engine that is filled by its
	 * slots alone.
	 */
	@Test(dataProvider = "seeds")
	public void pausesOfStreamsStayInTargetOnEnginesWithManySlots(long seed) {
		GenerationReplay result = new GenerationReplay(seed, 6).simulate(LENGTH_MS, 0.025);
		assertTrue(result.shareOfPausesInTarget() > 0.9, "share in target " + result.shareOfPausesInTarget());
	}

	/**
	 * A few streams among many long prompts at 33 gateways: most gateways see no stream
	 * for seconds, so none of them knows which engines generate.
	 */
	@Test(dataProvider = "seeds")
	public void longPromptsOfManyGatewaysDoNotDelayTheFewStreams(long seed) {
		MixedLoadReplay result = new MixedLoadReplay(seed, 33, 16).simulate(LENGTH_MS, 0.25, 0.006);
		assertTrue(result.shareOfStreamsInTarget() > 0.9, "share in target " + result.shareOfStreamsInTarget());
	}

	@Test
	public void allEnginesTakeLongPromptsWhenThereAreNoShortOnes() {
		EnginePlacer placer = new EnginePlacer();
		List<TrackedServer> engines = IntStream.range(0, 10)
			.mapToObj((index) -> new TrackedServer(new EngineModel("e" + index, EngineRole.DECODE, 165).server()))
			.toList();
		assertEquals(enginesUsed(placer, engines, 0), 8);
		assertEquals(enginesUsed(placer, engines, ReservedEngines.UNUSED_MS + 1), 10);
	}

	private static long enginesUsed(EnginePlacer placer, List<TrackedServer> engines, long nowMs) {
		return IntStream.range(0, 200)
			.mapToObj((index) -> new PromptShape(9_000, 2,
					List.of(new PromptPart("d" + index, 6_000), new PromptPart("q" + index, 3_000))))
			.map((prompt) -> placer.place("r", prompt, engines, Set.of(), 150, nowMs))
			.map((placement) -> ((Placement.SingleServer) placement).server())
			.distinct()
			.count();
	}

}
