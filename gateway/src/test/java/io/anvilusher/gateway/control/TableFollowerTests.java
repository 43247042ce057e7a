package io.anvilusher.gateway.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;

import static org.testng.Assert.assertEquals;

/**
 * Tests how a copy of a table follows a store that returns from an older copy.
 */
public class TableFollowerTests {

	@DataProvider
	public Object[][] calls() {
		return new Object[][] { { "second page", 2 }, { "changes", 3 } };
	}

	/** Guards against a view that counts as unbroken although changes were missed. */
	@Test(dataProvider = "calls")
	public void newEraIsReportedAndTheTableIsReadAgain(String name, int callOfNewEra) throws Exception {
		BlockingQueue<String> events = new LinkedBlockingQueue<>();
		try (ControlThread control = new ControlThread()) {
			new TableFollower<>("t", new Table(callOfNewEra), (key, value) -> Optional.of(key),
					new TableFollower.Listener<String>() {

						@Override
						public void onTable(Map<String, String> values) {
							events.add("table");
						}

						@Override
						public void onHistoryDropped() {
							events.add("dropped");
						}

					}, new TableFollower.ControlContext(control, MonotonicClock.SYSTEM, new Meters()),
					new TableFollower.PollIntervals(5, 5, 5))
				.start();
			for (String expected : List.of("table", "dropped", "table")) {
				assertEquals(events.poll(5, TimeUnit.SECONDS), expected, name);
			}
		}
	}

	/**
	 * A table of two pages whose store begins a new era at one call.
	 */
	private static final class Table implements StoreTable {

		private final int callOfNewEra;

		private volatile int calls;

		Table(int callOfNewEra) {
			this.callOfNewEra = callOfNewEra;
		}

		@Override
		public CompletableFuture<TableReadResult> page(Optional<String> afterKey) {
			this.calls++;
			String key = afterKey.isEmpty() ? "a" : "b";
			return CompletableFuture.completedFuture(new TableReadResult.Page(
					List.of(new KeyedRecord(key, Optional.of(new byte[1]))), afterKey.isEmpty(), 2));
		}

		@Override
		public CompletableFuture<TableReadResult> changes(long fromOffset, long waitMs) {
			this.calls++;
			return CompletableFuture.completedFuture(new TableReadResult.Changes(List.of(), fromOffset, fromOffset));
		}

		@Override
		public CompletableFuture<Boolean> write(String key, Optional<byte[]> value) {
			return CompletableFuture.completedFuture(false);
		}

		@Override
		public OptionalLong storeEra() {
			return OptionalLong.of((this.calls < this.callOfNewEra) ? 1 : 2);
		}

	}

}
