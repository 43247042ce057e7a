package io.anvilusher.gateway.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.usage.SealEra;
import io.anvilusher.logic.usage.SealRegister;
import io.anvilusher.logic.usage.SealRegister.WindowState;
import io.anvilusher.logic.usage.UsageSeal;

/**
 * Seals usage windows: fixes their figures in a table of the store. A seal is appended
 * only if the table has not changed since it was read without one, so that a window has
 * one seal even if several gateways write, or an append is done seconds later. A store
 * that returns from an older copy may have lost seals: each gateway writes again those
 * that it knows, and none seals a window that may have been sealed before. Runs on the
 * control thread.
 */
final class UsageSeals {

	private static final Logger LOGGER = LoggerFactory.getLogger(UsageSeals.class);

	/**
	 * Time after a new era was seen in which a process that may not know all seals leaves
	 * it to one that does to begin the era. Longer than the interval of renewals, which
	 * name the era, and shorter than the time for which nobody acts in a new era.
	 */
	private static final long BEGIN_ERA_DELAY_MS = 1_500;

	/** Delay before the first retry of a failed read. */
	private static final long FIRST_RETRY_DELAY_MS = 400;

	private static final long MAX_RETRY_DELAY_MS = 1_900;

	private final ConditionalTable table;

	private final ControlTasks thread;

	private final MonotonicClock clock;

	private final UsageMonitor monitor;

	private final LongSupplier presentWindow;

	private final LongSupplier oldestWindow;

	private final BooleanSupplier holdsLease;

	private final Runnable onChange;

	private SealRegister register = SealRegister.of(SealEra.NOT_NAMED, List.of());

	private long endOffset;

	/** Whether the register is the one at the end offset. */
	private boolean current;

	private boolean calling;

	/** Number of times that the register was found to be out of date. */
	private int invalidations;

	/** Newest era that the store has named, and the windows that it leaves open. */
	private SealEra newestEra = SealEra.NOT_NAMED;

	/** Time from which this process begins the newest era, by the monotonic clock. */
	private long beginEraAtMs;

	/** Whether this process saw the newest era begin. */
	private boolean sawEraBegin;

	private long readAgainAtMs = Long.MIN_VALUE / 2;

	private int failedReads;

	private boolean restoring;

	/** Seals that the store has confirmed, in whichever era. */
	private final TreeMap<Long, Map<String, Long>> known = new TreeMap<>();

	/** Slots that do not tell which window was sealed last. */
	private final Map<Integer, BlockedSlot> blockedSlots = new HashMap<>();

	/** Figures sent to the store without a response; they may still become seals. */
	private final Map<Long, Map<String, Long>> unconfirmed = new HashMap<>();

	/**
	 * Creates the seals.
	 * @param table the table of seals, which all gateways share
	 * @param thread runs all tasks, one at a time
	 * @param clock the monotonic clock
	 * @param monitor logs and counts seals
	 * @param presentWindow returns the number of the present window
	 * @param oldestWindow returns the number of the oldest window that is still reported
	 * @param holdsLease returns whether this process holds the duties, so that no other
	 * process has had them since this one read the table
	 * @param onChange is called when seals were read or written
	 */
	UsageSeals(ConditionalTable table, ControlTasks thread, MonotonicClock clock, UsageMonitor monitor,
			LongSupplier presentWindow, LongSupplier oldestWindow, BooleanSupplier holdsLease, Runnable onChange) {
		this.table = table;
		this.thread = thread;
		this.clock = clock;
		this.monitor = monitor;
		this.presentWindow = presentWindow;
		this.oldestWindow = oldestWindow;
		this.holdsLease = holdsLease;
		this.onChange = onChange;
	}

	/**
	 * Records that another process may have sealed windows.
	 */
	void invalidate() {
		this.current = false;
		this.invalidations++;
	}

	/**
	 * Records the era that a response of the store named.
	 * @param era the era
	 */
	void onEra(long era) {
		if (era <= this.newestEra.number()) {
			return;
		}
		// A holder without interruption knows all seals of the era that has ended.
		boolean allKnown = this.current && this.register.era().number() == this.newestEra.number()
				&& this.newestEra.number() >= 0 && this.holdsLease.getAsBoolean();
		long firstWindow = allKnown ? Math.max(this.register.era().firstWindow(), this.oldestWindow.getAsLong())
				: this.presentWindow.getAsLong();
		LOGGER.info("Seals: era {} of the store after {}; windows from {} on are sealed anew", era,
				this.newestEra.number(), firstWindow);
		this.restoring |= this.newestEra.number() >= 0 && !this.known.tailMap(this.oldestWindow.getAsLong()).isEmpty();
		this.sawEraBegin = this.newestEra.number() >= 0;
		this.newestEra = new SealEra(era, firstWindow);
		this.beginEraAtMs = this.clock.nowMs() + (allKnown ? 0 : BEGIN_ERA_DELAY_MS);
		invalidate();
		if (allKnown) {
			update();
		}
	}

	/**
	 * Returns whether seals are known here that the store may have lost.
	 * @return whether the table has to be read, even by a process without the duties
	 */
	boolean isRestoring() {
		return this.restoring;
	}

	/**
	 * Returns whether the seals are those of the store, as far as this process can tell.
	 * @return whether they are
	 */
	boolean isCurrent() {
		return this.current;
	}

	/**
	 * Returns the state of a window.
	 * @param window number of the window
	 * @return its state
	 */
	WindowState state(long window) {
		if (this.known.containsKey(window) || this.register.seal(window).isPresent()) {
			return WindowState.SEALED;
		}
		BlockedSlot blocked = this.blockedSlots.get(SealRegister.slot(window));
		boolean left = blocked != null && blocked.isLeftFor(window) && window >= this.register.era().firstWindow();
		return left ? WindowState.OPEN : this.register.state(window);
	}

	/**
	 * Returns the figures of a sealed window.
	 * @param window number of the window
	 * @return number of started requests by workspace, or empty if no seal is known
	 */
	Optional<Map<String, Long>> sealed(long window) {
		return Optional.ofNullable(this.known.get(window));
	}

	/**
	 * Reads the seals from the store, and writes those that it has lost, unless a call is
	 * under way or a read has just failed.
	 */
	void update() {
		if (this.calling || this.clock.nowMs() < this.readAgainAtMs) {
			return;
		}
		this.calling = true;
		int invalidationsBefore = this.invalidations;
		onThread(this.table.read(), (result) -> {
			if (!(result instanceof ConditionalTable.Result.Snapshot snapshot)) {
				this.monitor.onSealsUnavailable(result);
				this.readAgainAtMs = this.clock.nowMs()
						+ Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS << Math.min(this.failedReads++, 10));
				return;
			}
			this.failedReads = 0;
			boolean outdated = invalidationsBefore != this.invalidations;
			onEra(snapshot.era());
			if (isOfEarlierEra(snapshot.era())) {
				this.monitor.onSealsUnavailable(
						new ConditionalTable.Result.Unknown("the response names an earlier era, or none"));
			}
			else if (!outdated && !this.calling) {
				onSnapshot(snapshot);
			}
		});
	}

	// A response that names no era does not tell whether seals are lost.
	private boolean isOfEarlierEra(long era) {
		return era < this.newestEra.number();
	}

	private void onSnapshot(ConditionalTable.Result.Snapshot snapshot) {
		SealRegister read = SealRecord.decode(snapshot.values());
		if (snapshot.era() < read.era().number()) {
			this.monitor.onSealsUnavailable(new ConditionalTable.Result.Unknown("the response names no era"));
			return;
		}
		long present = this.presentWindow.getAsLong();
		this.register = read;
		this.endOffset = snapshot.endOffset();
		read.sealsBySlot()
			.values()
			.stream()
			.flatMap((seal) -> read.seal(seal.window()).stream())
			.filter((seal) -> seal.window() <= present + SealRegister.SLOTS)
			.forEach(this::onSealed);
		onBlockedSlots(read.blockedSlots(present + SealRegister.SLOTS), present);
		this.known.headMap(present - SealRegister.SLOTS).clear();
		this.unconfirmed.keySet().removeIf((window) -> window < present - SealRegister.SLOTS);
		boolean begun = read.era().number() == this.newestEra.number();
		SealEra era = begun ? read.era() : eraToBegin(read);
		List<UsageSeal> lost = lost(era, begun);
		if (begun && lost.isEmpty()) {
			onCurrent();
			return;
		}
		if (begun || this.clock.nowMs() >= this.beginEraAtMs) {
			lost.forEach((seal) -> this.monitor.onSealRestored(seal, this.endOffset));
			append(era, lost);
		}
	}

	private void onBlockedSlots(Map<Integer, Long> contents, long present) {
		this.blockedSlots.keySet().retainAll(contents.keySet());
		contents.forEach((slot, content) -> this.blockedSlots.merge(slot, new BlockedSlot(content, present),
				(before, now) -> (before.content() == now.content()) ? before : now));
	}

	// The clock of a process that has just started may be behind that of one that sealed
	// windows in an earlier era.
	private SealEra eraToBegin(SealRegister read) {
		boolean later = !this.sawEraBegin && !read.sealsBySlot().isEmpty();
		return later ? new SealEra(this.newestEra.number(), this.newestEra.firstWindow() + 1) : this.newestEra;
	}

	private List<UsageSeal> lost(SealEra era, boolean begun) {
		long oldest = this.oldestWindow.getAsLong();
		SealRegister inEra = this.register.in(era);
		return this.known.tailMap(begun ? oldest : Math.min(oldest, era.firstWindow()))
			.entrySet()
			.stream()
			.map((entry) -> new UsageSeal(era.number(), entry.getKey(), entry.getValue()))
			.filter((seal) -> isLost(seal, inEra))
			.toList();
	}

	private static boolean isLost(UsageSeal seal, SealRegister register) {
		return register.state(seal.window()) != WindowState.CLOSED
				&& !register.seal(seal.window()).map(UsageSeal::counts).equals(Optional.of(seal.counts()));
	}

	private void onCurrent() {
		this.current = true;
		this.restoring = false;
		this.onChange.run();
	}

	private void onSealed(UsageSeal seal) {
		this.unconfirmed.remove(seal.window());
		Map<String, Long> before = this.known.putIfAbsent(seal.window(), seal.counts());
		boolean first = before == null;
		if ((first && seal.window() >= this.oldestWindow.getAsLong()) || (!first && !before.equals(seal.counts()))) {
			this.monitor.onSeal(seal, this.endOffset, first);
		}
	}

	/**
	 * Seals windows, unless a call is under way or the seals are not current.
	 * @param totals the figures by window; a window that is not open is left out
	 */
	void seal(Map<Long, Map<String, Long>> totals) {
		if (this.calling || !this.current) {
			return;
		}
		List<UsageSeal> seals = totals.entrySet()
			.stream()
			.filter((entry) -> state(entry.getKey()) == WindowState.OPEN)
			.map((entry) -> new UsageSeal(this.register.era().number(), entry.getKey(),
					this.unconfirmed.getOrDefault(entry.getKey(), entry.getValue())))
			.toList();
		if (!seals.isEmpty()) {
			append(this.register.era(), seals);
		}
	}

	private void append(SealEra era, List<UsageSeal> seals) {
		List<KeyedRecord> records = new ArrayList<>();
		if (!era.equals(this.register.era())) {
			records.add(SealRecord.encode(era));
		}
		seals.forEach((seal) -> records.add(SealRecord.encode(seal)));
		this.calling = true;
		int invalidationsBefore = this.invalidations;
		onThread(this.table.append(records, this.endOffset), (result) -> {
			this.monitor.onSealAppend(result);
			if (result instanceof ConditionalTable.Result.Appended appended) {
				onEra(appended.era());
				onAppended(era, seals, appended);
				if (invalidationsBefore == this.invalidations) {
					onCurrent();
				}
				return;
			}
			if (result instanceof ConditionalTable.Result.Unknown) {
				seals.forEach((seal) -> this.unconfirmed.put(seal.window(), seal.counts()));
			}
			if (!(result instanceof ConditionalTable.Result.NotDone)) {
				invalidate();
			}
		});
	}

	// An append that is done in a later era than it was sent in may contradict seals that
	// were lost.
	private void onAppended(SealEra era, List<UsageSeal> seals, ConditionalTable.Result.Appended appended) {
		if (appended.era() != era.number()) {
			invalidate();
			return;
		}
		this.endOffset = appended.endOffset();
		this.register = this.register.in(era).with(seals);
		seals.forEach(this::onSealed);
		this.restoring |= era.number() < this.newestEra.number();
	}

	private void onThread(CompletableFuture<ConditionalTable.Result> pending,
			Consumer<ConditionalTable.Result> action) {
		pending.exceptionally((failure) -> {
			LOGGER.error("Seals: a call of the store failed unexpectedly", failure);
			return new ConditionalTable.Result.Unknown(failure.toString());
		}).thenAccept((result) -> this.thread.execute(() -> {
			this.calling = false;
			action.accept(result);
		}));
	}

	/**
	 * A slot whose content does not tell which window was sealed last.
	 *
	 * @param content a number that tells contents of the slot apart
	 * @param readInWindow the present window when the content was first read
	 */
	private record BlockedSlot(long content, long readInWindow) {

		// A window long after the one in which the content was read had not been sealed
		// when that content took the slot.
		boolean isLeftFor(long window) {
			return window > this.readInWindow + SealRegister.SLOTS / 2;
		}

	}

}
