package io.anvilusher.adapters.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.platform.PlatformLog.RawRecord;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.checkpoint.CheckpointAssembler;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.logic.fold.FoldResult;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.model.fact.OffsetRecord;
import io.anvilusher.protocol.codec.RecordCodec;

/**
 * Folds the records of the control log into the control state. Records may come from the
 * log itself or from another process; the state never goes back to a lower offset. It is
 * changed on the control thread only and can be read from any thread.
 */
public final class ControlFollower {

	private static final Logger LOGGER = LoggerFactory.getLogger(ControlFollower.class);

	/** Newest records kept in memory to serve other processes. */
	private static final int MAX_RECENT_RECORDS = 8192;

	private final ControlThread thread;

	private final MonotonicClock clock;

	private final List<ControlListener> listeners = new CopyOnWriteArrayList<>();

	private final Deque<RawRecord> recentRecords = new ArrayDeque<>();

	private final Map<String, CompletableFuture<RecordDecision>> pendingRecords = new HashMap<>();

	private final List<Runnable> completions = new ArrayList<>();

	private final CheckpointAssembler checkpoints = new CheckpointAssembler();

	/** State through the newest record folded; used on the control thread only. */
	private ControlState foldedState = ControlState.EMPTY;

	/** State that the process acts on; set once the log was read to its end. */
	private volatile ControlState state = ControlState.EMPTY;

	private boolean caughtUp;

	private volatile long lastCurrentAtMs = Long.MIN_VALUE;

	private volatile boolean regressed;

	private long unreadableRecords;

	/**
	 * Creates a follower with an empty state.
	 * @param thread the control thread
	 * @param clock clock by which the age of the state is measured
	 */
	public ControlFollower(ControlThread thread, MonotonicClock clock) {
		this.thread = thread;
		this.clock = clock;
	}

	/**
	 * Adds a listener for changes of the state from now on.
	 * @param listener the listener
	 */
	public void addListener(ControlListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the newest state to act on. It is replaced after each batch of records, and
	 * stays empty until the log, or another process's copy of it, was first read to its
	 * end.
	 * @return the state
	 */
	public ControlState state() {
		return this.state;
	}

	/**
	 * Returns the offset of the newest record folded, which may be ahead of
	 * {@link #state()}. Called on the control thread.
	 * @return the offset; 0 before the first record
	 */
	public long foldedOffset() {
		return this.foldedState.appliedOffset();
	}

	/**
	 * Returns the time since the state was last known to include every record of the log.
	 * @return age in milliseconds; {@link Long#MAX_VALUE} if this was never known
	 */
	public long ageMs() {
		long currentAtMs = this.lastCurrentAtMs;
		return (currentAtMs == Long.MIN_VALUE) ? Long.MAX_VALUE : Math.max(0, this.clock.nowMs() - currentAtMs);
	}

	/**
	 * Returns whether the log was found to end before records that were read from it
	 * earlier, which means that it has lost records.
	 * @return whether the log has regressed
	 */
	public boolean regressed() {
		return this.regressed;
	}

	/**
	 * Returns a future of the decision about a record. Called on the control thread.
	 * @param recordId id of the record
	 * @return the decision, completed once the record was read back
	 */
	CompletableFuture<RecordDecision> awaitDecision(String recordId) {
		return this.pendingRecords.computeIfAbsent(recordId, (id) -> new CompletableFuture<>());
	}

	void stopAwaiting(String recordId) {
		this.pendingRecords.remove(recordId);
	}

	/**
	 * Folds records in the order of their offsets. Called on the control thread.
	 * @param records the records; those already folded have no effect
	 * @param earliestOffset oldest offset that the source still holds
	 * @param endOffset newest offset known to the source
	 * @param knownAtMs time at which {@code endOffset} was certainly the end of the log,
	 * or {@link Long#MIN_VALUE} if no such time is known
	 * @return whether the source could continue the state; if not, records between the
	 * state and {@code earliestOffset} are no longer available and no complete checkpoint
	 * was found yet
	 */
	public boolean foldRecords(List<RawRecord> records, long earliestOffset, long endOffset, long knownAtMs) {
		if (endOffset < this.foldedState.appliedOffset()) {
			return reportRegression(endOffset, knownAtMs);
		}
		if (earliestOffset > this.foldedState.appliedOffset() + 1 && !restoreCheckpoint(records, earliestOffset)) {
			return false;
		}
		records.stream().takeWhile(this::isNextOrFolded).forEach(this::apply);
		boolean complete = this.foldedState.appliedOffset() >= endOffset;
		this.caughtUp |= complete;
		publishState();
		completeDecisions();
		if (complete && knownAtMs != Long.MIN_VALUE) {
			this.regressed = false;
			this.lastCurrentAtMs = Math.max(this.lastCurrentAtMs, knownAtMs);
		}
		return true;
	}

	private boolean reportRegression(long endOffset, long knownAtMs) {
		if (knownAtMs != Long.MIN_VALUE && !this.regressed) {
			this.regressed = true;
			LOGGER.error("The control log ends at offset {} but was read through offset {} before; keeping the state",
					endOffset, this.foldedState.appliedOffset());
		}
		return true;
	}

	private boolean restoreCheckpoint(List<RawRecord> records, long earliestOffset) {
		for (RawRecord raw : records) {
			RecordCodec.decode(raw.bytes())
				.ifPresent((record) -> this.checkpoints.add(new OffsetRecord(raw.offset(), record)));
		}
		Optional<ControlState> restored = this.checkpoints.newestComplete()
			.filter((checkpoint) -> checkpoint.throughOffset() >= earliestOffset - 1)
			.flatMap((checkpoint) -> RecordCodec.decodeState(checkpoint.bytes()));
		restored.filter((checkpointState) -> checkpointState.appliedOffset() > this.foldedState.appliedOffset())
			.ifPresent((checkpointState) -> {
				this.recentRecords.clear();
				this.foldedState = checkpointState;
			});
		return restored.isPresent();
	}

	/**
	 * Replaces the state by one that another process has folded, unless that one is not
	 * newer. Called on the control thread.
	 * @param peerState the state of the other process
	 */
	public void replaceIfNewer(ControlState peerState) {
		if (peerState.appliedOffset() <= this.foldedState.appliedOffset()) {
			return;
		}
		this.recentRecords.clear();
		this.foldedState = peerState;
		this.caughtUp = true;
		publishState();
	}

	private boolean isNextOrFolded(RawRecord raw) {
		return raw.offset() <= this.foldedState.appliedOffset() + 1;
	}

	private void apply(RawRecord raw) {
		if (raw.offset() <= this.foldedState.appliedOffset()) {
			return;
		}
		keepRecent(raw);
		Optional<LogRecord> decoded = RecordCodec.decode(raw.bytes());
		if (decoded.isEmpty()) {
			this.unreadableRecords++;
			LOGGER.warn("Control log record at offset {} cannot be decoded and is skipped", raw.offset());
			this.foldedState = this.foldedState.skip(raw.offset());
			return;
		}
		FoldResult<ControlState> folded = this.foldedState.apply(new OffsetRecord(raw.offset(), decoded.get()));
		this.foldedState = folded.state();
		CompletableFuture<RecordDecision> pending = this.pendingRecords.remove(decoded.get().id());
		if (pending != null) {
			RecordDecision decision = new RecordDecision.Decided(raw.offset(), folded.verdict());
			this.completions.add(() -> pending.complete(decision));
		}
	}

	// Runs after the state was published, so that code waiting for a record finds its
	// effect in the state.
	private void completeDecisions() {
		List<Runnable> pending = List.copyOf(this.completions);
		this.completions.clear();
		pending.forEach(Runnable::run);
	}

	// A starting process must not act on intermediate states of the log, for example one
	// in which a key is granted that a later record withdraws.
	private void publishState() {
		ControlState before = this.state;
		ControlState after = this.foldedState;
		if (this.caughtUp && before != after) {
			this.state = after;
			this.listeners.forEach((listener) -> listener.onState(before, after));
		}
	}

	private void keepRecent(RawRecord raw) {
		this.recentRecords.addLast(raw);
		if (this.recentRecords.size() > MAX_RECENT_RECORDS) {
			this.recentRecords.removeFirst();
		}
	}

	/**
	 * Returns the records from an offset on, if all of them are still in memory. Called
	 * on the control thread.
	 * @param fromOffset first offset to return
	 * @return the records, or empty if some of them are no longer in memory
	 */
	public Optional<List<RawRecord>> recentRecordsFrom(long fromOffset) {
		if (fromOffset > this.foldedState.appliedOffset()) {
			return Optional.of(List.of());
		}
		if (this.recentRecords.isEmpty() || this.recentRecords.getFirst().offset() > fromOffset) {
			return Optional.empty();
		}
		return Optional.of(this.recentRecords.stream().filter((raw) -> raw.offset() >= fromOffset).toList());
	}

	/**
	 * Returns the number of records that this release could not decode.
	 * @return number since the process started
	 */
	public long unreadableRecords() {
		return this.unreadableRecords;
	}

	/**
	 * Returns the control thread.
	 * @return the thread on which the state is changed
	 */
	public ControlThread thread() {
		return this.thread;
	}

	/**
	 * Returns the clock.
	 * @return the clock by which the age of the state is measured
	 */
	public MonotonicClock clock() {
		return this.clock;
	}

}
