package io.anvilusher.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Keeps a local copy of a table of the store: reads all records once, then polls for
 * changes. Runs on the control thread.
 *
 * @param <T> type of the values
 */
public final class TableFollower<T> {

	private static final Logger LOGGER = LoggerFactory.getLogger(TableFollower.class);

	/**
	 * Delay before the first retry of a failed read: about the response time of a slow
	 * store.
	 */
	private static final long FIRST_RETRY_DELAY_MS = 150;

	/** Shortest time between two reads for {@link #catchUp()}, which all calls share. */
	private static final long CATCH_UP_INTERVAL_MS = 20;

	private final String name;

	private final StoreTable table;

	private final BiFunction<String, byte[], Optional<T>> decoder;

	private final Listener<T> listener;

	private final ControlTasks thread;

	private final MonotonicClock clock;

	private final Meters meters;

	private final PollIntervals intervals;

	private Map<String, T> values = new HashMap<>();

	private long nextOffset;

	private boolean wasRead;

	private int readings;

	private OptionalLong eraBeforeRead = OptionalLong.empty();

	private boolean catchUpScheduled;

	private long lastCatchUpAtMs = Long.MIN_VALUE / 2;

	private OptionalLong readEra = OptionalLong.empty();

	private boolean reachable = true;

	private int failures;

	/** Calls of {@link #catchUp()} that the next read answers. */
	private final List<CompletableFuture<Boolean>> behind = new ArrayList<>();

	/** Calls of {@link #catchUp()} that the read in flight answers. */
	private final List<CompletableFuture<Boolean>> catchingUp = new ArrayList<>();

	/**
	 * Creates a follower.
	 * @param name name of the table in log lines and metrics
	 * @param table the table to follow
	 * @param decoder decodes the value of a key; empty if the value is not usable
	 * @param listener is notified of changes
	 * @param context thread, clock and metrics
	 * @param intervals how often the store is polled
	 */
	public TableFollower(String name, StoreTable table, BiFunction<String, byte[], Optional<T>> decoder,
			Listener<T> listener, ControlContext context, PollIntervals intervals) {
		this(name, table, decoder, listener, context.thread()::after, context.clock(), context.meters(), intervals);
	}

	/**
	 * Creates a follower on any thread.
	 * @param name name of the table in log lines and metrics
	 * @param table the table to follow
	 * @param decoder decodes the value of a key; empty if the value is not usable
	 * @param listener is notified of changes
	 * @param thread runs all tasks, one at a time
	 * @param clock the monotonic clock
	 * @param meters metrics
	 * @param intervals how often the store is polled
	 */
	public TableFollower(String name, StoreTable table, BiFunction<String, byte[], Optional<T>> decoder,
			Listener<T> listener, ControlTasks thread, MonotonicClock clock, Meters meters, PollIntervals intervals) {
		this.name = name;
		this.table = table;
		this.decoder = decoder;
		this.listener = listener;
		this.thread = thread;
		this.clock = clock;
		this.meters = meters;
		this.intervals = intervals;
	}

	/**
	 * Reads all records, then polls for changes until the process ends.
	 */
	public void start() {
		this.wasRead = false;
		this.readings++;
		this.eraBeforeRead = this.table.storeEra();
		readPage(new HashMap<>(), Optional.empty(), Long.MAX_VALUE);
	}

	private void readPage(Map<String, T> readSoFar, Optional<String> afterKey, long firstEndOffset) {
		onControlThread(this.table.page(afterKey), (result) -> {
			if (!(result instanceof TableReadResult.Page page)) {
				retryLater(result, this::start);
				return;
			}
			if (afterKey.isEmpty()) {
				// A call of another era may have been answered since the page was read.
				this.readEra = this.eraBeforeRead.isPresent() ? this.eraBeforeRead : this.table.storeEra();
			}
			page.records().forEach((keyedRecord) -> apply(readSoFar, keyedRecord));
			// The pages are not a consistent snapshot. Changes are therefore read from
			// the end offset of the first page on, so that none made in the meantime is
			// missed.
			long endOffset = Math.min(firstEndOffset, page.endOffset());
			if (page.more() && !page.records().isEmpty()) {
				String lastKey = page.records().get(page.records().size() - 1).key();
				readPage(readSoFar, Optional.of(lastKey), endOffset);
				return;
			}
			this.values = readSoFar;
			this.nextOffset = endOffset;
			this.wasRead = true;
			onReachable();
			LOGGER.info("Table {} was read: {} records, offset {}", this.name, readSoFar.size(), endOffset);
			this.listener.onRead(this.clock.nowMs());
			this.listener.onTable(Map.copyOf(this.values));
			readChanges();
		});
	}

	/**
	 * Brings the copy up to date with a read that begins after the call. The age of the
	 * last read shows nothing about changes made since. May be called on any thread.
	 * @return whether the copy holds all changes that the store accepted before the call;
	 * false if the store does not answer or no longer has them. Completes on the control
	 * thread, never exceptionally
	 */
	public CompletableFuture<Boolean> catchUp() {
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.thread.after(0, () -> {
			this.behind.add(result);
			scheduleCatchUp();
		});
		return result;
	}

	private void scheduleCatchUp() {
		if (this.behind.isEmpty() || this.catchUpScheduled || !this.catchingUp.isEmpty()) {
			return;
		}
		this.catchUpScheduled = true;
		long dueInMs = this.lastCatchUpAtMs + CATCH_UP_INTERVAL_MS - this.clock.nowMs();
		this.thread.after(Math.max(0, dueInMs), () -> {
			this.catchUpScheduled = false;
			this.lastCatchUpAtMs = this.clock.nowMs();
			this.catchingUp.addAll(this.behind);
			this.behind.clear();
			readForCatchUp();
		});
	}

	private void readForCatchUp() {
		if (!this.wasRead) {
			endCatchUp(false);
			return;
		}
		long fromOffset = this.nextOffset;
		int reading = this.readings;
		onControlThread(this.table.changes(fromOffset, 0), (result) -> {
			if (isOtherEra() || reading != this.readings || !(result instanceof TableReadResult.Changes changes)) {
				endCatchUp(false);
				return;
			}
			applyIfNewer(changes);
			if (this.nextOffset >= changes.endOffset()) {
				endCatchUp(true);
			}
			else if (this.nextOffset > fromOffset) {
				readForCatchUp();
			}
			else {
				endCatchUp(false);
			}
		});
	}

	private void endCatchUp(boolean upToDate) {
		List<CompletableFuture<Boolean>> ended = List.copyOf(this.catchingUp);
		this.catchingUp.clear();
		this.meters.counter("anvilusher.store.catch.ups", "table", this.name, "outcome", upToDate ? "ok" : "failed")
			.increment();
		ended.forEach((result) -> result.complete(upToDate));
		scheduleCatchUp();
	}

	// Polls and catch-ups read at the same time. A response that overlaps with what was
	// applied is applied as a whole, which ends with the newest record of each key.
	private boolean applyIfNewer(TableReadResult.Changes changes) {
		boolean newer = changes.nextOffset() >= this.nextOffset;
		if (newer) {
			onChanges(changes);
		}
		return newer;
	}

	private void onChanges(TableReadResult.Changes changes) {
		onReachable();
		this.listener.onRead(this.clock.nowMs());
		this.nextOffset = changes.nextOffset();
		if (!changes.records().isEmpty()) {
			changes.records().forEach((keyedRecord) -> apply(this.values, keyedRecord));
			this.listener.onTable(Map.copyOf(this.values));
		}
	}

	private void readChanges() {
		onControlThread(this.table.changes(this.nextOffset, this.intervals.waitMs()), (result) -> {
			if (isOtherEra()) {
				LOGGER.info("Table {}: the store returned from an older copy; reading all records again", this.name);
				this.listener.onHistoryDropped();
				start();
			}
			else if (result instanceof TableReadResult.Changes changes) {
				this.thread.after(applyIfNewer(changes) ? this.intervals.pauseMs() : 0, this::readChanges);
			}
			else if (result instanceof TableReadResult.HistoryDropped) {
				LOGGER.info(
						"Table {}: the store no longer keeps the changes from offset {} on; reading all records again",
						this.name, this.nextOffset);
				this.listener.onHistoryDropped();
				start();
			}
			else {
				retryLater(result, this::readChanges);
			}
		});
	}

	// The offsets of another era are those of other records, so changes may be missed.
	private boolean isOtherEra() {
		return !this.table.storeEra().equals(this.readEra);
	}

	private void retryLater(TableReadResult result, Runnable retry) {
		String reason = (result instanceof TableReadResult.Unavailable unavailable) ? unavailable.reason()
				: result.toString();
		this.meters.counter("anvilusher.store.failures", "table", this.name).increment();
		if (this.reachable) {
			this.reachable = false;
			LOGGER.warn(
					"Table {} of the store is unreachable: {}; the copy at offset {} stays in use, reads are retried",
					this.name, reason, this.nextOffset);
		}
		this.listener.onUnreachable(this.clock.nowMs());
		long delayMs = Math.min(this.intervals.maxRetryDelayMs(), FIRST_RETRY_DELAY_MS << Math.min(this.failures, 10));
		this.thread.after(delayMs, retry);
		this.failures++;
	}

	private void onReachable() {
		this.failures = 0;
		if (!this.reachable) {
			this.reachable = true;
			LOGGER.info("Table {} of the store is reachable again", this.name);
			this.listener.onReachable(this.clock.nowMs());
		}
	}

	private void apply(Map<String, T> target, KeyedRecord keyedRecord) {
		Optional<T> value = keyedRecord.value().flatMap((bytes) -> decode(keyedRecord.key(), bytes));
		if (keyedRecord.value().isPresent() && value.isEmpty()) {
			this.meters.counter("anvilusher.store.unreadable", "table", this.name).increment();
			LOGGER.warn("Table {}: the record of key {} is not readable or not usable; the key is treated as absent",
					this.name, keyedRecord.key());
		}
		value.ifPresentOrElse((present) -> target.put(keyedRecord.key(), present),
				() -> target.remove(keyedRecord.key()));
	}

	// One record that the decoder cannot handle must not end the process, nor hide the
	// other records.
	private Optional<T> decode(String key, byte[] value) {
		try {
			return this.decoder.apply(key, value);
		}
		catch (RuntimeException | StackOverflowError ex) {
			LOGGER.warn("Table {}: decoding the record of key {} failed", this.name, key, ex);
			return Optional.empty();
		}
	}

	private void onControlThread(CompletableFuture<TableReadResult> pending, Consumer<TableReadResult> action) {
		pending.exceptionally((failure) -> {
			LOGGER.error("Table {}: a read failed unexpectedly", this.name, failure);
			return new TableReadResult.Unavailable(failure.toString());
		}).thenAccept((result) -> this.thread.after(0, () -> action.accept(result)));
	}

	/**
	 * Is notified of reads of a table, on the control thread.
	 *
	 * @param <T> type of the values
	 */
	public interface Listener<T> {

		/**
		 * Called when all records or a change have been read.
		 * @param values the newest value of each key
		 */
		void onTable(Map<String, T> values);

		/**
		 * Called after each successful read, also one without changes, and before
		 * {@link #onTable(Map)} if there are some.
		 * @param nowMs the current time, by the monotonic clock
		 */
		default void onRead(long nowMs) {
		}

		/**
		 * Called when changes may have been missed, since the store no longer keeps them
		 * or returned from an older copy.
		 */
		default void onHistoryDropped() {
		}

		/**
		 * Called after each failed read.
		 * @param nowMs the current time, by the monotonic clock
		 */
		default void onUnreachable(long nowMs) {
		}

		/**
		 * Called when a read succeeded after one or more that failed.
		 * @param nowMs the current time, by the monotonic clock
		 */
		default void onReachable(long nowMs) {
		}

	}

	/**
	 * How often the store is polled.
	 *
	 * @param pauseMs pause between two reads of changes, in ms
	 * @param waitMs longest wait of one read for a change, in ms
	 * @param maxRetryDelayMs longest delay before a failed read is retried, in ms
	 */
	public record PollIntervals(long pauseMs, long waitMs, long maxRetryDelayMs) {

	}

	/**
	 * The objects that all control tasks share.
	 *
	 * @param thread the control thread
	 * @param clock the monotonic clock
	 * @param meters the metrics of this process
	 */
	public record ControlContext(ControlThread thread, MonotonicClock clock, Meters meters) {

	}

}
