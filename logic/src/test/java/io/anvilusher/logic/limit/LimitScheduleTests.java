package io.anvilusher.logic.limit;

import java.util.EnumSet;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against more requests than a server takes, whichever gateways fail, and against
 * a limit that is wanted and not used.
 */
public class LimitScheduleTests {

	private static final int SEEDS = Integer.getInteger("limit.seeds", 2);

	private static final long SEED = Long.getLong("limit.seed", 20_261_206L);

	/** Part of a wanted limit that must be used. */
	private static final double USED_PART = 0.8;

	/** Messages per second of a gateway without traffic, sent and received. */
	private static final double IDLE_MESSAGES = 3;

	private static final double[] NAMED = { 0, 0.1, 0.7, 3, 8.7, 20, 60, 150, -1, Double.POSITIVE_INFINITY };

	private static final int MANY = 560;

	@DataProvider
	public static Object[][] seeds() {
		return LongStream.range(SEED, SEED + SEEDS)
			.boxed()
			.flatMap((seed) -> sizes(1, 4, 30).map((size) -> new Object[] { seed, size }))
			.toArray(Object[][]::new);
	}

	private static Stream<Integer> sizes(int... defaults) {
		int chosen = Integer.getInteger("limit.gateways", 0);
		return (chosen > 0) ? Stream.of(chosen) : IntStream.of(defaults).boxed();
	}

	@Test(dataProvider = "seeds")
	public void serverGetsNoMoreThanItsBoundWhicheverGatewaysFail(long seed, int gateways) {
		runWithFaults(seed, gateways, 60_000);
	}

	@Test
	public void serverGetsNoMoreThanItsBoundOfManyGateways() {
		runWithFaults(SEED, MANY, 15_000);
	}

	private static void runWithFaults(long seed, int gateways, long faultsMs) {
		LimitSchedule schedule = new LimitSchedule(seed, gateways, EnumSet.allOf(LimitSchedule.Fault.class));
		nameLimits(schedule, new Random(seed), faultsMs);
		LimitSchedule.Spread[] spreads = LimitSchedule.Spread.values();
		schedule.setDemand((ms) -> (ms % 10_000 < 7_000) ? 60 : 5, spreads[(int) (seed % spreads.length)]);
		schedule.addFaults(faultsMs, 3_000);
		schedule.run(faultsMs + 25_000);
		int sentBefore = schedule.sent();
		schedule.setDemand((ms) -> 40, LimitSchedule.Spread.EVEN);
		schedule.run(10_000);
		int sentAfter = schedule.sent() - sentBefore;
		report("faults", seed, gateways, schedule, ", sent in calm afterwards " + sentAfter);
		assertWithin("rule", seed, schedule.bound());
		assertWithin("without excuse", seed, schedule.strictBound());
		assertTrue(sentAfter >= USED_PART * 20 * 10, "seed " + seed + " sent " + sentAfter + " of 200");
	}

	private static void nameLimits(LimitSchedule schedule, Random random, long faultsMs) {
		schedule.name(1_000, 8.7);
		long atMs = 5_000;
		while (atMs < faultsMs) {
			if (random.nextInt(6) == 0) {
				schedule.end(atMs);
				atMs += random.nextInt(3_000);
			}
			schedule.name(atMs, NAMED[random.nextInt(NAMED.length)]);
			atMs += 2_000 + random.nextInt(12_000);
		}
		schedule.name(faultsMs + 4_000, 20);
	}

	private static void assertWithin(String check, long seed, LimitBound bound) {
		assertEquals(bound.violations().size(), 0,
				check + ", seed " + seed + ", first " + bound.violations().stream().findFirst().orElse(""));
	}

	@DataProvider
	public static Object[][] wantedLimits() {
		Stream<Object[]> few = sizes(1, 4, 30)
			.flatMap((gateways) -> Stream.of(0.7, 8.7, 200.0).flatMap((limit) -> spreads(gateways, limit)));
		Stream<Object[]> many = spreads(MANY, 8.7);
		Stream<Object[]> more = Stream.of(new Object[] { MANY, 200.0, LimitSchedule.Spread.EVEN },
				new Object[] { MANY, 0.7, LimitSchedule.Spread.ONE });
		return Stream.of(few, many, more).flatMap((limits) -> limits).toArray(Object[][]::new);
	}

	private static Stream<Object[]> spreads(int gateways, double limitPerS) {
		return Stream.of(LimitSchedule.Spread.values()).map((spread) -> new Object[] { gateways, limitPerS, spread });
	}

	@Test(dataProvider = "wantedLimits")
	public void limitThatIsWantedIsUsed(int gateways, double limitPerS, LimitSchedule.Spread spread) {
		LimitSchedule schedule = new LimitSchedule(SEED, gateways, Set.of());
		schedule.name(1_000, limitPerS);
		schedule.setDemand((ms) -> 3 * limitPerS, spread);
		schedule.run(5_000);
		int sentBefore = schedule.sent();
		long messagesBefore = schedule.messages();
		long durationS = 10;
		schedule.run(durationS * 1_000);
		int sent = schedule.sent() - sentBefore;
		report("wanted " + limitPerS + " " + spread, SEED, gateways, schedule,
				", used " + sent / (limitPerS * durationS) + ", messages/s "
						+ (schedule.messages() - messagesBefore) / durationS);
		assertTrue(sent >= Math.floor(USED_PART * limitPerS * durationS), "sent " + sent);
		assertWithin("without excuse", SEED, schedule.strictBound());
	}

	@Test
	public void burstsUseTheLimit() {
		sizes(1, 4, 30).forEach((gateways) -> {
			LimitSchedule schedule = new LimitSchedule(SEED, gateways, Set.of());
			schedule.name(0, 20);
			schedule.setDemand((ms) -> (ms % 5_000 < 2_000) ? 80 : 0, LimitSchedule.Spread.MOVING);
			schedule.run(5_000);
			int sentBefore = schedule.sent();
			schedule.run(20_000);
			int sent = schedule.sent() - sentBefore;
			report("bursts", SEED, gateways, schedule, ", sent " + sent);
			assertTrue(sent >= USED_PART * 20 * 2 * 4, "sent " + sent);
			assertWithin("without excuse", SEED, schedule.strictBound());
		});
	}

	@Test
	public void noGatewayStarves() {
		LimitSchedule schedule = new LimitSchedule(SEED, 30, Set.of());
		schedule.name(0, 8.7);
		schedule.setDemand((ms) -> 200, LimitSchedule.Spread.EVEN);
		schedule.run(40_000);
		report("turns", SEED, 30, schedule, ", longest silence " + schedule.longestSilenceMs() + " ms");
		assertTrue(schedule.longestSilenceMs() <= 3 * 30 * 1_000 / 8.7, "silent " + schedule.longestSilenceMs());
	}

	@Test
	public void gatewaysWithoutTrafficSendLittle() {
		LimitSchedule schedule = new LimitSchedule(SEED, MANY, Set.of());
		schedule.name(0, 200);
		schedule.setDemand((ms) -> (ms < 2_000) ? 100 : 0, LimitSchedule.Spread.ONE);
		schedule.run(5_000);
		long messagesBefore = schedule.messages();
		schedule.run(5_000);
		double perS = (schedule.messages() - messagesBefore) / 5.0 / MANY;
		report("idle", SEED, MANY, schedule, ", messages/s of a gateway " + perS);
		assertTrue(perS <= IDLE_MESSAGES, "messages/s " + perS);
	}

	@Test(dataProvider = "seeds")
	public void limitThatHasEndedIsNotKept(long seed, int gateways) {
		LimitSchedule schedule = new LimitSchedule(seed, gateways, Set.of());
		schedule.name(0, 8.7);
		schedule.setDemand((ms) -> 30, LimitSchedule.Spread.EVEN);
		schedule.run(10_000);
		assertTrue(schedule.isLimited());
		schedule.end(10_000);
		schedule.run(2_000);
		assertFalse(schedule.isLimited());
	}

	private static void report(String name, long seed, int gateways, LimitSchedule schedule, String more) {
		Reporter.log(
				name + ": seed " + seed + ", gateways " + gateways + ", sent " + schedule.sent() + ", expired "
						+ schedule.expired() + ", refused " + schedule.refused() + ", most in 4 s "
						+ schedule.bound().worst() + " of the bound, " + schedule.strictBound().worst()
						+ " without excuse, messages " + schedule.messages() + more + ", groups " + schedule.groups(),
				true);
	}

}
