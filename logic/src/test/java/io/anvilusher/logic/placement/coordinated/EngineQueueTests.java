package io.anvilusher.logic.placement.coordinated;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.anvilusher.logic.placement.coordinated.EngineQueue.QueuedRequest;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EngineQueueTests {

	private static final double WORK_MS = 10;

	/** Guards against late requests that make others late as well. */
	@Test
	public void requestsThatCanBeOnTimeGoBeforeLateOnes() {
		EngineQueue queue = new EngineQueue();
		queue.add(queued(1, 5, 2_000, 0), false);
		queue.add(queued(2, 500, 2_000, 5), true);
		assertEquals(poll(queue, 0), Optional.of(2L));
		assertEquals(poll(queue, 0), Optional.of(1L));
		assertEquals(poll(queue, 0), Optional.empty());
	}

	/** Guards against a request that has become late and still goes before others. */
	@Test
	public void requestThatMissedItsTargetWaitsBehindOthers() {
		EngineQueue queue = new EngineQueue();
		queue.add(queued(1, 100, 2_000, 0), true);
		queue.add(queued(2, 500, 2_000, 0), true);
		assertEquals(poll(queue, 200), Optional.of(2L));
	}

	/** Guards against urgent requests behind less urgent ones of the same age. */
	@Test
	public void lowerPriorityNumberGoesFirstAtEqualTargets() {
		EngineQueue queue = new EngineQueue();
		queue.add(queued(1, 500, 2_000, 2), true);
		queue.add(queued(2, 500, 2_000, 0), true);
		assertEquals(poll(queue, 0), Optional.of(2L));
	}

	/**
	 * Guards against a priority class that starves behind newer, more urgent requests.
	 */
	@Test
	public void olderRequestGoesBeforeMuchNewerUrgentOnes() {
		EngineQueue queue = new EngineQueue();
		queue.add(queued(1, 500, 2_000, 2), true);
		queue.add(queued(2, 500 + 5 * (long) EngineQueue.PRIORITY_STEP_MS, 2_000, 0), true);
		assertEquals(poll(queue, 0), Optional.of(1L));
	}

	/** Guards against requests that are held although their clients have left. */
	@Test
	public void requestIsRemovedWhenItsDeadlineIsTooNear() {
		EngineQueue queue = new EngineQueue();
		queue.add(queued(1, 100, 150, 0), true);
		assertEquals(queue.removeUnservable((queued) -> WORK_MS, 0), List.of());
		assertEquals(queue.removeUnservable((queued) -> WORK_MS, 145).size(), 1);
		assertEquals(queue.size(), 0);
	}

	/**
	 * Guards against a queue whose requests all miss their deadlines, and against
	 * refusals that hit urgent requests first.
	 */
	@Test
	public void lateWorkIsBoundedAndLeastUrgentRequestsAreRefused() {
		EngineQueue queue = new EngineQueue();
		int count = 4 * (int) (EngineQueue.MAX_LATE_WORK_MS / WORK_MS);
		IntStream.range(0, count).forEach((index) -> queue.add(queued(index, 0, 50_000, index % 2), false));
		List<QueuedRequest> removed = queue.removeUnservable((queued) -> WORK_MS, 1);
		assertTrue(queue.lateWorkMs((queued) -> WORK_MS) <= EngineQueue.MAX_LATE_WORK_MS);
		assertTrue(removed.subList(0, count / 2).stream().allMatch((queued) -> queued.request().priority() == 1));
	}

	/** Guards against cancelled requests that are sent to an engine. */
	@Test
	public void removedRequestIsNotReturned() {
		EngineQueue queue = new EngineQueue();
		queue.add(queued(1, 500, 2_000, 0), true);
		assertTrue(queue.remove(new RequestKey("g", 1)));
		assertFalse(queue.remove(new RequestKey("g", 1)));
		assertEquals(poll(queue, 0), Optional.empty());
	}

	private static Optional<Long> poll(EngineQueue queue, long nowMs) {
		return queue.poll((queued) -> WORK_MS, nowMs).map((queued) -> queued.request().key().number());
	}

	private static QueuedRequest queued(long number, long targetAtMs, long deadlineAtMs, int priority) {
		return new QueuedRequest(new PlacementRequest(new RequestKey("g", number), new PromptShape(9_000, 2, List.of()),
				targetAtMs, deadlineAtMs, priority, 0, Set.of()), 0, 3_000);
	}

}
