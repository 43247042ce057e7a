package io.anvilusher.gateway.stream;

import java.util.List;
import java.util.stream.LongStream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against streams that a gateway out of step binds to another software version
 * than the one that began them. The system property {@code anvilusher.takeup.seeds}
 * selects the number of seeds.
 */
public class TakeUpScheduleTests {

	private static final Logger LOGGER = LoggerFactory.getLogger(TakeUpScheduleTests.class);

	private static final long SEEDS = Long.getLong("anvilusher.takeup.seeds", 60);

	/** Number of take-ups from which their share counts. */
	private static final int MIN_OWED = 12;

	private static List<TakeUpSchedule> runs(boolean catchingUp) {
		return LongStream.rangeClosed(1, SEEDS).mapToObj((seed) -> {
			TakeUpSchedule schedule = new TakeUpSchedule(seed, catchingUp);
			schedule.run();
			LOGGER.info("Seed {}: {}", seed, schedule.summary());
			return schedule;
		}).toList();
	}

	@Test
	public void noStreamGoesOnAtAnotherVersion() {
		List<TakeUpSchedule> runs = runs(true);
		assertEquals(runs.stream().flatMap((schedule) -> schedule.wrong().stream()).toList(), List.of());
		runs.stream()
			.filter((schedule) -> schedule.owed() >= MIN_OWED)
			.forEach((schedule) -> assertTrue(2 * schedule.owedBound() >= schedule.owed(), schedule.summary()));
		assertTrue(runs.stream().mapToInt(TakeUpSchedule::owed).sum() >= MIN_OWED * SEEDS, "too few take-ups");
	}

	/** Shows that the schedule meets the fault. */
	@Test
	public void withoutCatchingUpStreamsGoOnAtAnotherVersion() {
		assertFalse(runs(false).stream().allMatch((schedule) -> schedule.wrong().isEmpty()));
	}

}
