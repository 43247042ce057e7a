package io.anvilusher.gateway.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.adapters.metrics.Meters;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Guards against a copy of a table that counts as up to date although the store has
 * accepted changes that it does not hold. All threads are replaced by one, and the test
 * gives the responses of the store.
 */
public class TableCatchUpTests {

	private final Deque<Runnable> tasks = new ArrayDeque<>();

	private Table table;

	private Map<String, String> copy;

	private TableFollower<String> follower;

	@BeforeMethod
	public void start() {
		this.tasks.clear();
		this.table = new Table();
		this.copy = Map.of();
		this.follower = new TableFollower<>("t", this.table,
				(key, value) -> Optional.of(new String(value, StandardCharsets.UTF_8)),
				new TableFollower.Listener<String>() {

					@Override
					public void onTable(Map<String, String> values) {
						TableCatchUpTests.this.copy = values;
					}

				}, (delayMs, task) -> this.tasks.add(task), () -> 0, new Meters(),
				new TableFollower.PollIntervals(5, 5, 5));
		this.follower.start();
		this.table.pages.remove().complete(new TableReadResult.Page(List.of(record("a", "1")), false, 1));
		runTasks();
	}

	private static KeyedRecord record(String key, String value) {
		return new KeyedRecord(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
	}

	private static TableReadResult.Changes changes(long nextOffset, long endOffset, KeyedRecord... records) {
		return new TableReadResult.Changes(List.of(records), nextOffset, endOffset);
	}

	private void runTasks() {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove().run();
		}
	}

	private CompletableFuture<Boolean> catchUp() {
		CompletableFuture<Boolean> result = this.follower.catchUp();
		runTasks();
		return result;
	}

	private void respond(int call, TableReadResult result) {
		this.table.reads.get(call).complete(result);
		runTasks();
	}

	@Test
	public void copyHoldsWhatTheStoreAcceptedBefore() {
		CompletableFuture<Boolean> result = catchUp();
		assertFalse(result.isDone());
		respond(1, changes(2, 2, record("b", "1")));
		assertTrue(result.join());
		assertEquals(this.copy, Map.of("a", "1", "b", "1"));
	}

	@Test
	public void callDuringAReadWaitsForTheNextRead() {
		CompletableFuture<Boolean> first = catchUp();
		CompletableFuture<Boolean> second = catchUp();
		respond(1, changes(1, 1));
		assertTrue(first.join());
		assertFalse(second.isDone());
		respond(2, changes(2, 2, record("b", "1")));
		assertTrue(second.join());
		assertEquals(this.copy.get("b"), "1");
	}

	@Test
	public void longTableIsReadToItsEnd() {
		CompletableFuture<Boolean> result = catchUp();
		respond(1, changes(2, 3, record("b", "1")));
		assertFalse(result.isDone());
		respond(2, changes(3, 3, record("c", "1")));
		assertTrue(result.join());
		assertEquals(this.copy.keySet(), Set.of("a", "b", "c"));
	}

	@Test
	public void responseWithoutProgressIsAFailure() {
		CompletableFuture<Boolean> result = catchUp();
		respond(1, changes(1, 3));
		assertFalse(result.join());
	}

	@Test
	public void failedReadIsAFailure() {
		CompletableFuture<Boolean> result = catchUp();
		respond(1, new TableReadResult.Unavailable("status 503"));
		assertFalse(result.join());
		CompletableFuture<Boolean> next = catchUp();
		respond(2, new TableReadResult.HistoryDropped());
		assertFalse(next.join());
	}

	@Test
	public void olderResponseOfAPollChangesNothing() {
		CompletableFuture<Boolean> result = catchUp();
		respond(1, changes(3, 3, record("b", "1"), record("b", "2")));
		assertTrue(result.join());
		respond(0, changes(2, 2, record("b", "1")));
		assertEquals(this.copy.get("b"), "2");
		assertEquals(this.table.offsets.get(2), 3L);
	}

	/** Guards against news that waits for a further read although it has arrived. */
	@Test
	public void newerResponseOfAPollIsAppliedAsAWhole() {
		catchUp();
		respond(1, changes(2, 2, record("b", "1")));
		respond(0, changes(3, 3, record("b", "1"), record("b", "2")));
		assertEquals(this.copy.get("b"), "2");
	}

	/** Guards against offsets of one era of the store that are read in the next one. */
	@Test
	public void tableThatIsReadAnewIsNotUpToDate() {
		CompletableFuture<Boolean> before = catchUp();
		this.table.era = 2;
		respond(0, changes(1, 1));
		assertFalse(catchUpResult(1, before));
		CompletableFuture<Boolean> during = catchUp();
		assertFalse(during.join());
		this.table.pages.remove().complete(new TableReadResult.Page(List.of(record("a", "2")), false, 1));
		runTasks();
		assertEquals(this.copy, Map.of("a", "2"));
	}

	private boolean catchUpResult(int call, CompletableFuture<Boolean> result) {
		respond(call, changes(2, 2, record("b", "1")));
		return result.join();
	}

	private static final class Table implements StoreTable {

		private final Deque<CompletableFuture<TableReadResult>> pages = new ArrayDeque<>();

		private final List<CompletableFuture<TableReadResult>> reads = new ArrayList<>();

		private final List<Long> offsets = new ArrayList<>();

		private long era = 1;

		@Override
		public CompletableFuture<TableReadResult> page(Optional<String> afterKey) {
			CompletableFuture<TableReadResult> result = new CompletableFuture<>();
			this.pages.add(result);
			return result;
		}

		@Override
		public CompletableFuture<TableReadResult> changes(long fromOffset, long waitMs) {
			CompletableFuture<TableReadResult> result = new CompletableFuture<>();
			this.reads.add(result);
			this.offsets.add(fromOffset);
			return result;
		}

		@Override
		public CompletableFuture<Boolean> write(String key, Optional<byte[]> value) {
			return CompletableFuture.completedFuture(false);
		}

		@Override
		public OptionalLong storeEra() {
			return OptionalLong.of(this.era);
		}

	}

}
