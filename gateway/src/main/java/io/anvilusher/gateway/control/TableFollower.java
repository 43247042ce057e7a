package io.anvilusher.gateway.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Keeps a copy of a table of the store: reads all records once, then the changes. Works
 * on the control thread.
 *
 * @param <T> type of the values
 */
public final class TableFollower<T> {

	private static final Logger LOGGER = LoggerFactory.getLogger(TableFollower.class);

	/**
	 * Pause after the first failed read, in ms. Source: answer time of a store that is
	 * slow.
	 */
	private static final long FIRST_RETRY_MS = 150;

	/**
	 * Longest pause after failed reads, in ms. Source: a part of the time in which the
	 * newest state must be in force after an outage.
	 */
	private static final long MAX_RETRY_MS = 450;

	private final String name;

	private final StoreTable table;

	private final BiFunction<String, byte[], Optional<T>> decode;

	private final Listener<T> listener;

	private final ControlThread thread;

	private final MonotonicClock clock;

	private final Meters meters;

	private final Pace pace;

	private Map<String, T> values = new HashMap<>();

	private long nextOffset;

	private boolean reachable = true;

	private int failures;

	/**
	 * Creates a follower.
	 * @param name name of the table in logs and metrics
	 * @param table the table
	 * @param decode reads a value of a key; empty if it is not readable
	 * @param listener hears of changes
	 * @param context thread, clock and meters
	 * @param pace how often the store is asked
	 */
	public TableFollower(String name, StoreTable table, BiFunction<String, byte[], Optional<T>> decode,
			Listener<T> listener, ControlContext context, Pace pace) {
		this.name = name;
		this.table = table;
		this.decode = decode;
		this.listener = listener;
		this.thread = context.thread();
		this.clock = context.clock();
		this.meters = context.meters();
		this.pace = pace;
	}

	/**
	 * Starts to follow.
	 */
	public void start() {
		readPage(new HashMap<>(), Optional.empty(), Long.MAX_VALUE);
	}

	private void readPage(Map<String, T> read, Optional<String> afterKey, long firstEndOffset) {
		on(this.table.page(afterKey), (answer) -> {
			if (!(answer instanceof TableAnswer.Page page)) {
				retryLater(answer, this::start);
				return;
			}
			page.records().forEach((entry) -> apply(read, entry));
			// Pages are no snapshot: changes are read from the end as of the first page.
			long endOffset = Math.min(firstEndOffset, page.endOffset());
			if (page.more() && !page.records().isEmpty()) {
				String last = page.records().get(page.records().size() - 1).key();
				readPage(read, Optional.of(last), endOffset);
				return;
			}
			this.values = read;
			this.nextOffset = endOffset;
			onReachable();
			LOGGER.info("Table {} was read: {} records, offset {}", this.name, read.size(), endOffset);
			this.listener.onTable(Map.copyOf(this.values));
			readChanges();
		});
	}

	private void readChanges() {
		on(this.table.changes(this.nextOffset, this.pace.waitMs()), (answer) -> {
			if (answer instanceof TableAnswer.Changes changes) {
				onReachable();
				this.nextOffset = changes.nextOffset();
				if (!changes.records().isEmpty()) {
					changes.records().forEach((entry) -> apply(this.values, entry));
					this.listener.onTable(Map.copyOf(this.values));
				}
				this.thread.after(this.pace.pauseMs(), this::readChanges);
			}
			else if (answer instanceof TableAnswer.HistoryDropped) {
				LOGGER.info("Table {}: changes from offset {} are no longer kept; all records are read", this.name,
						this.nextOffset);
				start();
			}
			else {
				retryLater(answer, this::readChanges);
			}
		});
	}

	private void retryLater(TableAnswer answer, Runnable retry) {
		String reason = (answer instanceof TableAnswer.Unavailable unavailable) ? unavailable.reason()
				: answer.toString();
		this.meters.counter("anvilusher.store.failures", "table", this.name).increment();
		if (this.reachable) {
			this.reachable = false;
			LOGGER.warn("Table {} of the store is unreachable: {}; offset {} stays in use", this.name, reason,
					this.nextOffset);
		}
		this.listener.onUnreachable(this.clock.nowMs());
		this.thread.after(Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(this.failures, 10)), retry);
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

	private void apply(Map<String, T> into, KeyedRecord entry) {
		Optional<T> value = entry.value().flatMap((bytes) -> this.decode.apply(entry.key(), bytes));
		if (entry.value().isPresent() && value.isEmpty()) {
			this.meters.counter("anvilusher.store.unreadable", "table", this.name).increment();
			LOGGER.warn("Table {}: the record of key {} is not readable and names nothing to use", this.name,
					entry.key());
		}
		value.ifPresentOrElse((present) -> into.put(entry.key(), present), () -> into.remove(entry.key()));
	}

	private void on(CompletableFuture<TableAnswer> pending, Consumer<TableAnswer> action) {
		pending.thenAccept((answer) -> this.thread.run(() -> action.accept(answer)));
	}

	/**
	 * Hears of a table on the control thread.
	 *
	 * @param <T> type of the values
	 */
	public interface Listener<T> {

		/**
		 * The table was read or changed.
		 * @param values the newest value of each key
		 */
		void onTable(Map<String, T> values);

		/**
		 * A read failed.
		 * @param nowMs the time
		 */
		default void onUnreachable(long nowMs) {
		}

		/**
		 * A read succeeded after one that failed.
		 * @param nowMs the time
		 */
		default void onReachable(long nowMs) {
		}

	}

	/**
	 * How often the store is asked.
	 *
	 * @param pauseMs pause between two reads of changes, in ms
	 * @param waitMs longest wait of one read for a change, in ms
	 */
	public record Pace(long pauseMs, long waitMs) {

	}

	/**
	 * What all followers share.
	 *
	 * @param thread the control thread
	 * @param clock the clock
	 * @param meters the meters
	 */
	public record ControlContext(ControlThread thread, MonotonicClock clock, Meters meters) {

	}

}
