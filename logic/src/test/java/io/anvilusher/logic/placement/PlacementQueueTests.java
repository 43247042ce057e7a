package io.anvilusher.logic.placement;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

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

	/**
	 * Guards against requests that were sent once more, or refused as not run while they
	 * ran, because sending them had thrown an exception.
	 */
	@Test
	public void requestWhosePlacementThrowsIsNotPlacedOrExpiredLater() {
		this.queue.offer("throws", TARGET_MS, 0);
		assertThrows(IllegalStateException.class, () -> this.queue.placeQueued((request) -> {
			throw new IllegalStateException("failed after it was sent");
		}));
		List<String> seen = new ArrayList<>();
		this.queue.placeQueued(seen::add);
		this.queue.expire(Long.MAX_VALUE, seen::add);
		assertEquals(seen, List.of());
	}

	/** Guards against requests that were sent once more while they were being sent. */
	@Test
	public void requestIsNotPlacedAgainWhileItIsBeingPlaced() {
		this.queue.offer("first", TARGET_MS, 0);
		this.queue.offer("second", TARGET_MS, 0);
		List<String> placed = new ArrayList<>();
		this.queue.placeQueued((request) -> {
			placed.add(request);
			this.queue.placeQueued(placed::add);
			return true;
		});
		assertEquals(placed, List.of("first", "second"));
	}

	@Test
	public void requestsThatFindNoServerKeepTheirOrder() {
		this.queue.offer("a", TARGET_MS, 0);
		this.queue.offer("b", TARGET_MS, 0);
		this.queue.offer("c", TARGET_MS, 0);
		this.queue.placeQueued("b"::equals);
		List<String> seen = new ArrayList<>();
		this.queue.placeQueued((request) -> !seen.add(request));
		this.queue.expire(Long.MAX_VALUE, seen::add);
		assertEquals(seen, List.of("a", "c", "a", "c"));
	}

}
