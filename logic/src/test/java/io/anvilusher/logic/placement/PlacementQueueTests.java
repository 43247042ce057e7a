package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class PlacementQueueTests {

	private static final long TARGET_MS = 200;

	private final PlacementQueue<String> queue = new PlacementQueue<>();

	@Test
	public void requestThatFindsNoServerDoesNotHoldUpThoseBehindIt() {
		this.queue.offer("home is full", TARGET_MS, 0);
		this.queue.offer("home has capacity", TARGET_MS, 0);
		this.queue.placeQueued("home has capacity"::equals);
		List<String> rejected = new ArrayList<>();
		this.queue.expire((long) (PlacementQueue.MAX_QUEUE_TIME_SHARE * TARGET_MS), rejected::add);
		assertEquals(rejected, List.of("home is full"));
	}

}
