package io.anvilusher.logic.admission;

import java.util.HashMap;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class FairQueueTests {

	private static final WorkspaceShare SMALL = new WorkspaceShare("small", 1, false);

	private static final WorkspaceShare LARGE = new WorkspaceShare("large", 1, false);

	@Test
	public void workspaceWithManyItemsDoesNotDelayTheOthers() {
		FairQueue<String> queue = new FairQueue<>();
		for (int i = 0; i < 100; i++) {
			queue.offer(LARGE, 1, "large");
		}
		queue.offer(SMALL, 1, "small");
		assertEquals(queue.poll().orElseThrow(), "large");
		assertEquals(queue.poll().orElseThrow(), "small");
	}

	@Test
	public void sharesFollowTheWeights() {
		FairQueue<String> queue = new FairQueue<>();
		WorkspaceShare heavy = new WorkspaceShare("heavy", 3, false);
		for (int i = 0; i < 400; i++) {
			queue.offer(heavy, 1, "heavy");
			queue.offer(SMALL, 1, "small");
		}
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 400; i++) {
			served.merge(queue.poll().orElseThrow(), 1, Integer::sum);
		}
		assertTrue(Math.abs(served.get("heavy") - 300) <= 3, served.toString());
	}

	@Test
	public void urgentItemsAreServedFirst() {
		FairQueue<String> queue = new FairQueue<>();
		queue.offer(SMALL, 1, "nightly");
		queue.offer(new WorkspaceShare("small", 1, true), 1, "urgent");
		assertEquals(queue.poll().orElseThrow(), "urgent");
	}

	@Test
	public void idleWorkspaceAccumulatesNoCredit() {
		FairQueue<String> queue = new FairQueue<>();
		for (int i = 0; i < 50; i++) {
			queue.offer(LARGE, 1, "large");
		}
		for (int i = 0; i < 40; i++) {
			queue.poll();
		}
		for (int i = 0; i < 10; i++) {
			queue.offer(SMALL, 1, "small");
		}
		int small = 0;
		for (int i = 0; i < 10; i++) {
			small += queue.poll().orElseThrow().equals("small") ? 1 : 0;
		}
		assertTrue(small >= 4 && small <= 6, "small: " + small);
	}

}
