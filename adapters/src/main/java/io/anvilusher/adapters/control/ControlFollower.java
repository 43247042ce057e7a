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
import io.anvilusher.logic.fold.Folded;
import io.anvilusher.model.fact.LogRecord;
import io.anvilusher.model.fact.OffsetRecord;
import io.anvilusher.protocol.codec.RecordCodec;

/**
 * Folds records, whoever brought them, into the control state, and never goes back to an
 * older one. Changed on the control thread only; the state can be read from any thread.
 */
public final class ControlFollower {

	private static final Logger LOGGER = LoggerFactory.getLogger(ControlFollower.class);

	/** Records kept to bring other processes up to date. */
	private static final int RECENT_RECORDS = 8192;

	private final ControlThread thread;

	private final MonotonicClock clock;

	private final List<ControlListener> listeners = new CopyOnWriteArrayList<>();

	private final Deque<RawRecord> recent = new ArrayDeque<>();

	private final Map<String, CompletableFuture<RecordDecision>> awaited = new HashMap<>();

	private final List<Runnable> decisions = new ArrayList<>();

	private final CheckpointAssembler checkpoints = new CheckpointAssembler();

	/** What the log says so far; seen by the control thread only. */
	private ControlState working = ControlState.EMPTY;

	/** What the process acts on. */
	private volatile ControlState state = ControlState.EMPTY;

	private boolean caughtUp;

	private volatile long freshAtMs = Long.MIN_VALUE;

	private volatile boolean regressed;

	private long unreadableRecords;

	/**
	 * Creates a follower that has read nothing.
	 * @param thread the control thread
	 * @param clock the clock
	 */
	public ControlFollower(ControlThread thread, MonotonicClock clock) {
		this.thread = thread;
		this.clock = clock;
	}

	/**
	 * Adds a listener, which learns of the changes from now on.
	 * @param listener the listener
	 */
	public void addListener(ControlListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the newest state to act on. It appears whole after each batch of records,
	 * and for the first time once the log, or what another process knew of it, was read
	 * to its end.
	 * @return the state
	 */
	public ControlState state() {
		return this.state;
	}

	/**
	 * Returns the offset of the newest record folded, which may not be acted on yet.
	 * Called on the control thread.
	 * @return the offset; 0 before the first record
	 */
	public long foldedOffset() {
		return this.working.appliedOffset();
	}

	/**
	 * Returns how old the newest proof is that the state was the log's newest.
	 * @return age in milliseconds; {@link Long#MAX_VALUE} without any proof
	 */
	public long ageMs() {
		long freshMs = this.freshAtMs;
		return (freshMs == Long.MIN_VALUE) ? Long.MAX_VALUE : Math.max(0, this.clock.nowMs() - freshMs);
	}

	/**
	 * Tells whether the log was seen to end before records that were folded, so that it
	 * is not the log that it was.
	 * @return whether it was
	 */
	public boolean regressed() {
		return this.regressed;
	}

	/**
	 * Awaits the effect of a record. Called on the control thread.
	 * @param recordId id of the record
	 * @return the effect, once the record was read back
	 */
	CompletableFuture<RecordDecision> await(String recordId) {
		return this.awaited.computeIfAbsent(recordId, (id) -> new CompletableFuture<>());
	}

	void forget(String recordId) {
		this.awaited.remove(recordId);
	}

	/**
	 * Folds records in order. Called on the control thread.
	 * @param records the records; those already folded have no effect
	 * @param earliestOffset oldest offset that the source can bring
	 * @param endOffset newest offset that the source knew
	 * @param knownAtMs time at which {@code endOffset} was surely the log's end, or
	 * {@link Long#MIN_VALUE} if it is not known to be
	 * @return whether the records joined the state without a gap
	 */
	public boolean offer(List<RawRecord> records, long earliestOffset, long endOffset, long knownAtMs) {
		if (endOffset < this.working.appliedOffset()) {
			return noteRegression(endOffset, knownAtMs);
		}
		if (earliestOffset > this.working.appliedOffset() + 1 && !restoreCheckpoint(records, earliestOffset)) {
			return false;
		}
		records.stream().takeWhile(this::isNextOrKnown).forEach(this::apply);
		boolean whole = this.working.appliedOffset() >= endOffset;
		this.caughtUp |= whole;
		notifyListeners();
		announceDecisions();
		if (whole && knownAtMs != Long.MIN_VALUE) {
			this.regressed = false;
			this.freshAtMs = Math.max(this.freshAtMs, knownAtMs);
		}
		return true;
	}

	private boolean noteRegression(long endOffset, long knownAtMs) {
		if (knownAtMs != Long.MIN_VALUE && !this.regressed) {
			this.regressed = true;
			LOGGER.error("The log ends at offset {} but records through {} were read from it; keeping the state",
					endOffset, this.working.appliedOffset());
		}
		return true;
	}

	private boolean restoreCheckpoint(List<RawRecord> records, long earliestOffset) {
		for (RawRecord raw : records) {
			RecordCodec.decode(raw.bytes())
				.ifPresent((record) -> this.checkpoints.add(new OffsetRecord(raw.offset(), record)));
		}
		Optional<ControlState> restored = this.checkpoints.complete()
			.filter((checkpoint) -> checkpoint.throughOffset() >= earliestOffset - 1)
			.flatMap((checkpoint) -> RecordCodec.decodeState(checkpoint.bytes()));
		restored.filter((found) -> found.appliedOffset() > this.working.appliedOffset()).ifPresent((found) -> {
			this.recent.clear();
			this.working = found;
		});
		return restored.isPresent();
	}

	/**
	 * Takes over a state folded elsewhere, unless it is older than the own one. Called on
	 * the control thread.
	 * @param offered the state
	 */
	public void adopt(ControlState offered) {
		if (offered.appliedOffset() <= this.working.appliedOffset()) {
			return;
		}
		this.recent.clear();
		this.working = offered;
		this.caughtUp = true;
		notifyListeners();
	}

	private boolean isNextOrKnown(RawRecord raw) {
		return raw.offset() <= this.working.appliedOffset() + 1;
	}

	private void apply(RawRecord raw) {
		if (raw.offset() <= this.working.appliedOffset()) {
			return;
		}
		keep(raw);
		Optional<LogRecord> decoded = RecordCodec.decode(raw.bytes());
		if (decoded.isEmpty()) {
			this.unreadableRecords++;
			LOGGER.warn("The record at offset {} cannot be read and has no effect", raw.offset());
			this.working = this.working.skip(raw.offset());
			return;
		}
		Folded<ControlState> folded = this.working.apply(new OffsetRecord(raw.offset(), decoded.get()));
		this.working = folded.state();
		CompletableFuture<RecordDecision> waiting = this.awaited.remove(decoded.get().id());
		if (waiting != null) {
			RecordDecision decision = new RecordDecision.Decided(raw.offset(), folded.verdict());
			this.decisions.add(() -> waiting.complete(decision));
		}
	}

	// Whoever awaits a record finds its effect in the state.
	private void announceDecisions() {
		List<Runnable> announced = List.copyOf(this.decisions);
		this.decisions.clear();
		announced.forEach(Runnable::run);
	}

	// A process that starts must not act on the states that its predecessors have left
	// behind.
	private void notifyListeners() {
		ControlState before = this.state;
		ControlState after = this.working;
		if (this.caughtUp && before != after) {
			this.state = after;
			this.listeners.forEach((listener) -> listener.onState(before, after));
		}
	}

	private void keep(RawRecord raw) {
		this.recent.addLast(raw);
		if (this.recent.size() > RECENT_RECORDS) {
			this.recent.removeFirst();
		}
	}

	/**
	 * Returns the records from an offset on, as far as they are kept. Called on the
	 * control thread.
	 * @param fromOffset first offset wanted
	 * @return the records, or empty if some of them are no longer kept
	 */
	public Optional<List<RawRecord>> recentFrom(long fromOffset) {
		if (fromOffset > this.working.appliedOffset()) {
			return Optional.of(List.of());
		}
		if (this.recent.isEmpty() || this.recent.getFirst().offset() > fromOffset) {
			return Optional.empty();
		}
		return Optional.of(this.recent.stream().filter((raw) -> raw.offset() >= fromOffset).toList());
	}

	/**
	 * Returns the number of records that this release could not read.
	 * @return the number
	 */
	public long unreadableRecords() {
		return this.unreadableRecords;
	}

	/**
	 * Returns the control thread.
	 * @return the thread on which the state changes
	 */
	public ControlThread thread() {
		return this.thread;
	}

	/**
	 * Returns the clock.
	 * @return the clock by which ages are counted
	 */
	public MonotonicClock clock() {
		return this.clock;
	}

}
