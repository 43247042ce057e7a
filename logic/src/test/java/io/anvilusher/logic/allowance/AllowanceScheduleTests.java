package io.anvilusher.logic.allowance;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against use above the bound of a workspace in any window, whichever gateways
 * fail, and against refusals of a workspace below its limit while none fails.
 */
public class AllowanceScheduleTests {

	private static final int GATEWAYS = Integer.getInteger("allowance.gateways", 29);

	private static final double RATE = AllowanceSchedule.LIMIT.ratePerS();

	/** Part of the requests that may be refused while gateways are killed. */
	private static final double KILL_REFUSALS = 0.01;

	@DataProvider
	public static Object[][] seeds() {
		return LongStream.range(0, Integer.getInteger("allowance.seeds", 6))
			.map((index) -> Long.getLong("allowance.seed", 20_261_206L) + index)
			.mapToObj((seed) -> new Object[] { seed })
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	public void useStaysWithinTheBoundWhicheverGatewaysFail(long seed) {
		AllowanceSchedule schedule = new AllowanceSchedule(seed, GATEWAYS,
				EnumSet.allOf(AllowanceSchedule.Fault.class));
		schedule.addTraffic("flood", (ms) -> (ms % 20_000 < 10_000) ? 6 * RATE : 0.3 * RATE, 2, 7_000, 0.9);
		schedule.addTraffic("concentrated", (ms) -> 0.95 * RATE, 1, 4_000, 1);
		schedule.addTraffic("spread", (ms) -> 2 * RATE, GATEWAYS, 0, 1);
		schedule.run(1_000, 60_000);
		report("faults", seed, schedule);
		assertEquals(schedule.violations().size(), 0,
				"seed " + seed + ", first " + schedule.violations().stream().findFirst().orElse(""));
		assertTrue(schedule.admitted() > 10_000, "seed " + seed + " admitted " + schedule.admitted());
	}

	@Test(dataProvider = "seeds")
	public void workspaceBelowItsLimitIsNeverRefusedWithoutFaults(long seed) {
		AllowanceSchedule schedule = new AllowanceSchedule(seed, GATEWAYS, Set.of());
		schedule.addTraffic("concentrated", (ms) -> 0.9 * RATE, 1, 0, 1);
		schedule.addTraffic("moving", (ms) -> 0.9 * RATE, 1, 3_000, 1);
		schedule.addTraffic("two", (ms) -> 0.9 * RATE, 2, 5_000, 1);
		schedule.addTraffic("spread", (ms) -> 0.9 * RATE, GATEWAYS, 0, 1);
		schedule.addTraffic("peak", (ms) -> (ms % 16_000 < 2_000) ? 4 * RATE : 0.1 * RATE, 1, 5_000, 1);
		schedule.addTraffic("flood", (ms) -> (ms < 15_000) ? 0.2 * RATE : 10 * RATE, 2, 7_000, 0.9);
		schedule.joinAfter(12_000, "late");
		schedule.run(1_000, 40_000);
		report("no faults", seed, schedule);
		assertEquals(schedule.wronglyRefused(), 0, "requests refused below the limit, seed " + seed);
		assertEquals(schedule.violations().size(), 0, "seed " + seed);
	}

	@Test(dataProvider = "seeds")
	public void killedGatewaysHardlyCauseRefusalsAtHalfOfTheLimit(long seed) {
		AllowanceSchedule schedule = new AllowanceSchedule(seed, GATEWAYS, Set.of(AllowanceSchedule.Fault.KILL));
		schedule.setFaultInterval(15_000);
		schedule.addTraffic("half", (ms) -> 0.5 * RATE, 1, 6_000, 1);
		schedule.addTraffic("spread", (ms) -> 0.5 * RATE, GATEWAYS, 0, 1);
		schedule.addTraffic("two", (ms) -> 0.5 * RATE, 2, 5_000, 1);
		schedule.run(1_000, 60_000);
		report("kills", seed, schedule);
		assertTrue(schedule.wronglyRefused() <= schedule.admitted() * KILL_REFUSALS,
				"seed " + seed + " refused " + schedule.wronglyRefused());
		assertEquals(schedule.violations().size(), 0, "seed " + seed);
	}

	private static void report(String name, long seed, AllowanceSchedule schedule) {
		String line = name + ": seed " + seed + ", admitted " + schedule.admitted() + ", refused " + schedule.refused()
				+ " (" + schedule.wronglyRefused() + " below the limit), most in a window " + schedule.mostUsedOfBound()
				+ " of the bound, messages " + schedule.messages();
		Reporter.log(line, true);
	}

}
