package io.anvilusher.logic.placement.coordinated;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class PlacementCoordinatorTests {

	private static final long TARGET_MS = 215;

	private static final long DEADLINE_MS = 2_000;

	private static final long AFTER_EXPIRY_MS = 10_000;

	private PlacementCoordinator coordinator;

	@BeforeMethod
	public void createCoordinator() {
		this.coordinator = new PlacementCoordinator(300_000, new Random(1));
		this.coordinator.updateEngines(List.of(engine("e0", 1), engine("e1", 1)), 0);
	}

	/** Guards against a lost or repeated message that counts a request twice. */
	@Test
	public void repeatsGetTheSameDecisionAndCountOnce() {
		PlacementDecision first = ask(1, DEADLINE_MS);
		assertTrue(first instanceof PlacementDecision.Assigned);
		assertEquals(ask(1, DEADLINE_MS), first);
		assertEquals(this.coordinator.occupiedSlots(), 1);
		long queued = askUntilQueued();
		int remembered = this.coordinator.rememberedRequests();
		assertEquals(ask(queued, DEADLINE_MS), new PlacementDecision.Queued());
		assertEquals(this.coordinator.rememberedRequests(), remembered);
	}

	/** Guards against a repeat that is answered with an outdated state. */
	@Test
	public void repeatOfAQueuedRequestGetsItsAssignment() {
		long queued = askUntilQueued();
		LongStream.range(1, queued).forEach((number) -> report(number, PlacementReport.Event.ENDED, 50));
		List<PlacementCoordinator.Decided> decided = this.coordinator.dispatch(50);
		assertEquals(decided.size(), 1);
		assertEquals(decided.get(0).key(), key(queued));
		assertEquals(ask(queued, DEADLINE_MS), decided.get(0).decision());
	}

	/** Guards against a client that waits for a response which cannot come in time. */
	@Test
	public void requestThatCannotMeetItsDeadlineIsRefusedAtOnce() {
		assertTrue(ask(1, 5) instanceof PlacementDecision.Refused);
		long queued = askUntilQueued();
		assertTrue(ask(queued + 1, 30) instanceof PlacementDecision.Refused);
	}

	/** Guards against entries that stay when the message about their end is lost. */
	@Test
	public void requestsWhoseEndIsLostExpire() {
		askUntilQueued();
		report(1, PlacementReport.Event.PREFILLED, 50);
		assertTrue(this.coordinator.occupiedSlots() > 0);
		this.coordinator.dispatch(AFTER_EXPIRY_MS);
		assertEquals(this.coordinator.occupiedSlots(), 0);
		assertEquals(this.coordinator.rememberedRequests(), 0);
	}

	/**
	 * Guards against entries that stay when an engine restarts: they are no longer in the
	 * record of any engine.
	 */
	@Test
	public void requestsAtARestartedEngineExpire() {
		ask(1, DEADLINE_MS);
		this.coordinator.updateEngines(List.of(engine("e0", 2), engine("e1", 2)), 10);
		this.coordinator.dispatch(AFTER_EXPIRY_MS);
		assertEquals(this.coordinator.rememberedRequests(), 0);
	}

	/** Guards against entries of requests that were cancelled while they were queued. */
	@Test
	public void endOfAQueuedRequestRemovesIt() {
		long queued = askUntilQueued();
		LongStream.rangeClosed(1, queued).forEach((number) -> report(number, PlacementReport.Event.ENDED, 50));
		assertEquals(this.coordinator.hasQueued(), false);
		assertEquals(this.coordinator.rememberedRequests(), 0);
		assertEquals(this.coordinator.occupiedSlots(), 0);
	}

	/** Guards against requests that wait for an engine which has gone away. */
	@Test
	public void queuedRequestsOfAnEngineThatLeavesArePlacedElsewhere() {
		this.coordinator.updateEngines(List.of(engine("e0", 1)), 0);
		long queued = askUntilQueued();
		List<PlacementCoordinator.Decided> decided = this.coordinator.updateEngines(List.of(engine("e2", 1)), 20);
		assertEquals(decided.size(), 1);
		assertEquals(decided.get(0).key(), key(queued));
		assertEquals(((PlacementDecision.Assigned) decided.get(0).decision()).engineId(), "e2");
	}

	/** Guards against another attempt at an engine that has just failed. */
	@Test
	public void excludedEnginesAreNotUsed() {
		String first = ((PlacementDecision.Assigned) ask(1, DEADLINE_MS)).engineId();
		PlacementDecision second = this.coordinator
			.onRequest(new PlacementRequest(key(2), prompt(2), TARGET_MS, DEADLINE_MS, 0, 0, Set.of(first)), 0)
			.orElseThrow();
		assertNotEquals(((PlacementDecision.Assigned) second).engineId(), first);
		assertEquals(
				this.coordinator.onRequest(
						new PlacementRequest(key(3), prompt(3), TARGET_MS, DEADLINE_MS, 0, 0, Set.of("e0", "e1")), 0),
				Optional.of(new PlacementDecision.NoEngine()));
	}

	private long askUntilQueued() {
		return IntStream.rangeClosed(1, 100)
			.filter((number) -> ask(number, DEADLINE_MS) instanceof PlacementDecision.Queued)
			.findFirst()
			.orElseThrow();
	}

	private PlacementDecision ask(long number, long deadlineAtMs) {
		return this.coordinator
			.onRequest(new PlacementRequest(key(number), prompt(number), TARGET_MS, deadlineAtMs, 0, 0, Set.of()), 0)
			.orElseThrow();
	}

	private void report(long number, PlacementReport.Event event, long nowMs) {
		this.coordinator.onReport(key(number), new PlacementReport(event, "", OptionalLong.empty(), 0, List.of()),
				nowMs);
	}

	private static RequestKey key(long number) {
		return new RequestKey("g", number);
	}

	private static PromptShape prompt(long number) {
		return new PromptShape(9_000, 2,
				List.of(new PromptPart("d" + number, 6_000), new PromptPart("q" + number, 3_000)));
	}

	private static RegisteredServer engine(String id, long startedAtMs) {
		return new RegisteredServer(id, startedAtMs, "llm", "10.0.0.1:1", "a", 8, false,
				Optional.of(EngineRole.DECODE));
	}

}
