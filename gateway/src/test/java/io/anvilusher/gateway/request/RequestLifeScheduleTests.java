package io.anvilusher.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that run twice or run after a refusal, in whatever order the
 * events of their lives come.
 */
public class RequestLifeScheduleTests {

	private static final int DEPTH = Integer.getInteger("life.depth", 6);

	private static final long SEED = Long.getLong("life.seed", 20_261_206L);

	private static final int WALKS = Integer.getInteger("life.walks", 8_000);

	private final Map<LifeScenario, RequestLifeExplorer> explored = new HashMap<>();

	private Level levelBefore;

	private static Logger logger() {
		return (Logger) LoggerFactory.getLogger("io.anvilusher");
	}

	// Each request logs its end.
	@BeforeClass
	public void silenceLog() {
		this.levelBefore = logger().getLevel();
		logger().setLevel(Level.OFF);
	}

	@AfterClass(alwaysRun = true)
	public void restoreLog() {
		logger().setLevel(this.levelBefore);
	}

	@DataProvider
	public static Object[][] scenarios() {
		return LifeScenario.all().stream().map((scenario) -> new Object[] { scenario }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "scenarios")
	public void requestThatMustRunOnceIsNeverAtTwoServers(LifeScenario scenario) {
		assertHolds(scenario, LifeRule.RUNS_ONCE);
	}

	@Test(dataProvider = "scenarios")
	public void refusedRequestHasNotRun(LifeScenario scenario) {
		assertHolds(scenario, LifeRule.REFUSED_NOT_RUN);
	}

	@Test(dataProvider = "scenarios")
	public void nothingIsSentAfterARefusal(LifeScenario scenario) {
		assertHolds(scenario, LifeRule.NOTHING_SENT_AFTER_REFUSAL);
	}

	/** Guards against an engine that takes a prefill for a complete request. */
	@Test(dataProvider = "scenarios")
	public void requestIsNotSentAgainAfterAnUnexpectedAnswerToItsPrefill(LifeScenario scenario) {
		assertHolds(scenario, LifeRule.RUNS_ONCE_STRICT_PREFILL);
	}

	/** Guards against an engine that takes a prefill for a complete request. */
	@Test(dataProvider = "scenarios")
	public void requestIsNotRefusedAsNotRunAfterAnUnexpectedAnswerToItsPrefill(LifeScenario scenario) {
		assertHolds(scenario, LifeRule.REFUSED_NOT_RUN_STRICT_PREFILL);
	}

	/** Guards against a schedule in which nothing happens. */
	@Test(dataProvider = "scenarios")
	public void schedulesReachAnswersFailuresAndRetries(LifeScenario scenario) {
		RequestLifeExplorer explorer = explore(scenario);
		assertTrue(explorer.walksByStatus().keySet().containsAll(List.of(0, 200, 502, 503, 504)), explorer.summary());
		assertTrue(explorer.maxSends() > 2, explorer.summary());
	}

	private void assertHolds(LifeScenario scenario, LifeRule rule) {
		RequestLifeExplorer explorer = explore(scenario);
		Optional<List<String>> shortest = explorer.shortest(rule);
		assertEquals(shortest.map((trace) -> String.join("\n  ", trace)).orElse(""), "", explorer.summary());
	}

	private RequestLifeExplorer explore(LifeScenario scenario) {
		return this.explored.computeIfAbsent(scenario, (added) -> {
			RequestLifeExplorer explorer = new RequestLifeExplorer(added);
			explorer.exploreAll(DEPTH);
			LongStream.range(SEED, SEED + WALKS).forEach(explorer::walk);
			Reporter.log(explorer.summary(), true);
			return explorer;
		});
	}

}
