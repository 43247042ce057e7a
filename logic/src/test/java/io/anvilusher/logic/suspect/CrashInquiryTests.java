package io.anvilusher.logic.suspect;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests which prompt parts and requests are convicted of crashing servers.
 */
public class CrashInquiryTests {

	private static final long NOW_MS = 1_800_000_000_000L;

	/** Crashes after which requests with the part must no longer reach servers. */
	private static final int MAX_CRASHES = 5;

	private static final String BAD = "part:bad";

	private static final String FIRST = "part:first";

	private static CrashObservation crash(int number, String... subjects) {
		Map<String, Integer> depths = new HashMap<>();
		IntStream.range(0, subjects.length).forEach((depth) -> depths.put(subjects[depth], depth));
		return new CrashObservation("server-" + number, "s", NOW_MS - 100_000 + number, depths);
	}

	private static CrashReport report(CrashObservation... crashes) {
		return new CrashReport(List.of(crashes), Set.of());
	}

	private static SuspectVerdict decide(CrashReport... reports) {
		return CrashInquiry.decide(List.of(reports), Map.of(), NOW_MS);
	}

	@DataProvider
	public static Object[][] seeds() {
		return IntStream.range(0, 50).mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	/**
	 * Replays crashes under load: each is seen by four gateways, each of which had
	 * several sound requests there. Guards against crash after crash until all servers
	 * are down, and against convicting the parts that sound requests share.
	 */
	@Test(dataProvider = "seeds")
	public void partIsConvictedByTheFifthCrashAndNoSoundPartWithIt(int seed) {
		Random random = new Random(seed);
		List<List<CrashObservation>> byGateway = new ArrayList<>();
		IntStream.range(0, 4).forEach((gateway) -> byGateway.add(new ArrayList<>()));
		SuspectVerdict verdict = SuspectVerdict.NONE;
		for (int crash = 1; crash <= MAX_CRASHES && verdict.convicted().isEmpty(); crash++) {
			int sender = random.nextInt(4);
			for (int gateway = 0; gateway < 4; gateway++) {
				List<String> subjects = new ArrayList<>();
				subjects.add(FIRST);
				IntStream.range(0, 5).forEach((index) -> subjects.add("part:document" + random.nextInt(300)));
				if (gateway == sender) {
					subjects.add(BAD);
				}
				byGateway.get(gateway).add(crash(crash, subjects.toArray(String[]::new)));
			}
			verdict = decide(byGateway.stream()
				.map((crashes) -> new CrashReport(crashes, Set.of(FIRST)))
				.toArray(CrashReport[]::new));
		}
		assertEquals(verdict.convicted(), Set.of(BAD));
	}

	@Test
	public void partAtThreeCrashesIsConvictedAtTheThird() {
		assertEquals(decide(report(crash(1, FIRST, BAD), crash(2, "part:x", BAD))).convicted(), Set.of());
		SuspectVerdict verdict = decide(
				report(crash(1, FIRST, BAD), crash(2, "part:x", BAD), crash(3, FIRST, "part:y", BAD)));
		assertEquals(verdict.newlyConvicted(), Map.of(BAD, 3));
	}

	@Test
	public void verdictDoesNotDependOnTheOrderOfReports() {
		List<CrashReport> reports = new ArrayList<>(List.of(report(crash(1, FIRST, BAD), crash(2, FIRST, "part:x")),
				report(crash(2, FIRST, BAD)), report(crash(3, FIRST, "part:y", BAD), crash(4, FIRST, "part:z", BAD))));
		SuspectVerdict expected = CrashInquiry.decide(reports, Map.of(), NOW_MS);
		Collections.reverse(reports);
		assertEquals(CrashInquiry.decide(reports, Map.of(), NOW_MS), expected);
		assertEquals(expected.convicted(), Set.of(BAD));
	}

	/** One crash that several gateways report counts once. */
	@Test
	public void reportsOfOneCrashCountOnce() {
		assertEquals(decide(report(crash(1, BAD)), report(crash(1, BAD)), report(crash(1, BAD))).convicted(), Set.of());
	}

	@Test
	public void answeredPartIsNotConvicted() {
		CrashReport crashes = report(crash(1, FIRST), crash(2, FIRST), crash(3, FIRST), crash(4, FIRST));
		assertEquals(decide(crashes).convicted(), Set.of(FIRST));
		assertEquals(decide(crashes, new CrashReport(List.of(), Set.of(FIRST))).convicted(), Set.of());
	}

	/** Many servers lost at once, as in an outage, convict no part that was at a few. */
	@Test
	public void outageOfManyServersConvictsNothing() {
		CrashObservation[] crashes = IntStream.range(0, 40)
			.mapToObj((number) -> crash(number, "part:document" + number % 12, "request:" + number))
			.toArray(CrashObservation[]::new);
		assertEquals(decide(report(crashes)).convicted(), Set.of());
	}

	/**
	 * Without any answer so far, the part that the fewest requests share is convicted.
	 */
	@Test
	public void deepestOfPartsAtTheSameCrashesIsConvicted() {
		CrashReport crashes = report(crash(1, FIRST, BAD), crash(2, FIRST, BAD), crash(3, FIRST, BAD));
		assertEquals(decide(crashes).convicted(), Set.of(BAD));
	}

	@Test
	public void partsOfTheSameDepthAreToldApartByOneMoreCrash() {
		CrashReport crashes = report(crash(1, BAD), crash(2, BAD), crash(3, BAD));
		CrashReport sound = report(crash(1, "part:x"), crash(2, "part:x"), crash(3, "part:x"));
		assertEquals(decide(crashes, sound).convicted(), Set.of());
		assertEquals(decide(crashes, sound, report(crash(4, BAD))).convicted(), Set.of(BAD));
	}

	/**
	 * Guards against refusing all requests with a part because of one that is repeated.
	 */
	@Test
	public void repeatedRequestIsConvictedInsteadOfItsParts() {
		CrashObservation[] crashes = IntStream.rangeClosed(1, 4)
			.mapToObj((number) -> new CrashObservation("server-" + number, "s", NOW_MS - 10 + number,
					Map.of(FIRST, 0, "part:document", 1, "request:1", CrashObservation.REQUEST_DEPTH)))
			.toArray(CrashObservation[]::new);
		assertEquals(decide(report(crashes[0], crashes[1], crashes[2])).convicted(), Set.of());
		assertEquals(decide(report(crashes)).convicted(), Set.of("request:1"));
	}

	@Test
	public void twoBadPartsAreBothConvicted() {
		CrashObservation[] crashes = IntStream.range(0, 8)
			.mapToObj((number) -> crash(number, FIRST, (number % 2 == 0) ? BAD : "part:worse"))
			.toArray(CrashObservation[]::new);
		assertEquals(decide(report(crashes), new CrashReport(List.of(), Set.of(FIRST))).convicted(),
				Set.of(BAD, "part:worse"));
	}

	@Test
	public void crashThatAConvictedPartExplainsCountsAgainstNoOther() {
		CrashObservation[] crashes = IntStream.range(0, 8)
			.mapToObj((number) -> crash(number, FIRST, BAD))
			.toArray(CrashObservation[]::new);
		SuspectVerdict verdict = CrashInquiry.decide(List.of(report(crashes)), Map.of(BAD, NOW_MS + 1), NOW_MS);
		assertEquals(verdict.convicted(), Set.of(BAD));
		assertTrue(verdict.suspects().isEmpty());
	}

	@Test
	public void oneCrashConvictsAgainAfterTheEndOfAConviction() {
		Map<String, Long> ended = Map.of(BAD, NOW_MS - 1);
		assertFalse(CrashInquiry.decide(List.of(), ended, NOW_MS).convicted().contains(BAD));
		assertTrue(CrashInquiry.decide(List.of(report(crash(1, FIRST, BAD))), ended, NOW_MS).convicted().contains(BAD));
	}

	@Test
	public void oldCrashesAreNotConsidered() {
		long laterMs = NOW_MS + CrashInquiry.MAX_CRASH_AGE_MS;
		CrashReport crashes = report(crash(1, BAD), crash(2, BAD), crash(3, BAD));
		assertEquals(CrashInquiry.decide(List.of(crashes), Map.of(), laterMs).convicted(), Set.of());
	}

}
