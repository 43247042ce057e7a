package io.anvilusher.logic.placement;

import java.util.function.DoubleUnaryOperator;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class OverloadReplayTests {

	private static final double LENGTH_MS = 12_000;

	private static final DoubleUnaryOperator CALM = (atMs) -> 0.17;

	/** Bursts of 2.8 s that ask for more than the engines can read. */
	private static final DoubleUnaryOperator BURSTS = (atMs) -> ((long) (atMs / 2_800) % 2 == 0) ? 0.1 : 0.6;

	private static final DoubleUnaryOperator OVERLOAD = (atMs) -> 0.8;

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L }, { 5L }, { 6L }, { 7L }, { 8L }, { 9L }, { 10L } };
	}

	@Test(dataProvider = "seeds")
	public void calmLoadIsServedInTarget(long seed) {
		LoadReplay product = new LoadReplay(seed).play(LENGTH_MS, CALM, LoadReplay.product());
		int asked = product.inTarget() + product.late() + product.turnedAway();
		assertTrue(product.inTarget() > 0.9 * asked, product.toString());
	}

	@Test(dataProvider = "seeds")
	public void burstsServeMoreInTargetThanLeastOutstanding(long seed) {
		LoadReplay product = new LoadReplay(seed).play(LENGTH_MS, BURSTS, LoadReplay.product());
		LoadReplay baseline = new LoadReplay(seed).play(LENGTH_MS, BURSTS, LoadReplay.leastOutstanding());
		assertTrue(product.inTarget() > 1.15 * baseline.inTarget(), product + " against " + baseline);
	}

	@Test(dataProvider = "seeds")
	public void lastingOverloadKeepsServedRequestsInTarget(long seed) {
		LoadReplay product = new LoadReplay(seed).play(LENGTH_MS, OVERLOAD, LoadReplay.product());
		assertTrue(product.inTarget() > 2 * product.late(), product.toString());
	}

}
