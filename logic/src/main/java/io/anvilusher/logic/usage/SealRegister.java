package io.anvilusher.logic.usage;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The seals of usage windows as of one moment. Windows share a fixed number of slots, and
 * a slot holds the newest sealed window of those that share it. Nothing is ever removed,
 * so a slot with an older window, or an empty one, proves that a window was not sealed in
 * this era. What may have been sealed in an earlier era, and lost when the store returned
 * from an older copy, is not sealed again.
 *
 * @param era the era of the store to which the register belongs
 * @param sealsBySlot the seals
 * @param unreadableSlots slots whose content is no seal, with a hash of it
 */
public record SealRegister(SealEra era, Map<Integer, UsageSeal> sealsBySlot, Map<Integer, Long> unreadableSlots) {

	/** Number of slots; more than the number of windows that can still be reported. */
	public static final int SLOTS = 64;

	public SealRegister {
		sealsBySlot = Map.copyOf(sealsBySlot);
		unreadableSlots = Map.copyOf(unreadableSlots);
	}

	/**
	 * Creates a register.
	 * @param era the era to which it belongs
	 * @param seals the seals, at most one for each slot
	 * @return the register
	 */
	public static SealRegister of(SealEra era, Collection<UsageSeal> seals) {
		return new SealRegister(era, Map.of(), Map.of()).with(seals);
	}

	/**
	 * Returns the slot of a window.
	 * @param window number of the window
	 * @return the slot, from 0 to {@link #SLOTS} - 1
	 */
	public static int slot(long window) {
		return Math.floorMod(window, SLOTS);
	}

	/**
	 * Adds seals; each replaces the one in its slot.
	 * @param seals the seals
	 * @return the new register
	 */
	public SealRegister with(Collection<UsageSeal> seals) {
		Map<Integer, UsageSeal> bySlot = new TreeMap<>(this.sealsBySlot);
		seals.forEach((seal) -> bySlot.put(slot(seal.window()), seal));
		Map<Integer, Long> unreadable = new TreeMap<>(this.unreadableSlots);
		seals.forEach((seal) -> unreadable.remove(slot(seal.window())));
		return new SealRegister(this.era, bySlot, unreadable);
	}

	/**
	 * Adds slots whose content is no seal.
	 * @param slots the slots, with a hash of their content
	 * @return the new register
	 */
	public SealRegister withUnreadable(Map<Integer, Long> slots) {
		return new SealRegister(this.era, this.sealsBySlot, slots);
	}

	/**
	 * Returns the slots that do not tell which window was sealed last: their content is
	 * no seal, or one of a gateway whose clock is far ahead.
	 * @param newestWindow number of the last window that a seal may name
	 * @return the slots, with a number that tells their contents apart
	 */
	public Map<Integer, Long> blockedSlots(long newestWindow) {
		Map<Integer, Long> blocked = new TreeMap<>(this.unreadableSlots);
		this.sealsBySlot.forEach((slot, seal) -> {
			if (seal.window() > newestWindow) {
				blocked.put(slot, seal.window());
			}
		});
		return blocked;
	}

	/**
	 * Moves the register to a later era of the store.
	 * @param later the later era
	 * @return the new register
	 */
	public SealRegister in(SealEra later) {
		return new SealRegister(later, this.sealsBySlot, this.unreadableSlots);
	}

	/**
	 * Returns the seal of a window.
	 * @param window number of the window
	 * @return the seal, or empty if the window is not validly sealed
	 */
	public Optional<UsageSeal> seal(long window) {
		return Optional.ofNullable(this.sealsBySlot.get(slot(window)))
			.filter((seal) -> seal.window() == window)
			.filter(isValid());
	}

	// An append of an earlier era that is done late does not know what was sealed in this
	// one, and may have replaced it.
	private Predicate<UsageSeal> isValid() {
		return (seal) -> seal.era() >= this.era.number() || seal.window() < this.era.firstWindow();
	}

	/**
	 * Returns the state of a window.
	 * @param window number of the window
	 * @return its state
	 */
	public WindowState state(long window) {
		if (seal(window).isPresent()) {
			return WindowState.SEALED;
		}
		UsageSeal inSlot = this.sealsBySlot.get(slot(window));
		if (inSlot != null && inSlot.window() > window) {
			return WindowState.CLOSED;
		}
		if (this.unreadableSlots.containsKey(slot(window))) {
			return WindowState.UNCERTAIN;
		}
		boolean replaced = inSlot != null && inSlot.window() == window;
		return (replaced || window < this.era.firstWindow()) ? WindowState.UNCERTAIN : WindowState.OPEN;
	}

	/** The state of a usage window. */
	public enum WindowState {

		/** The window was not sealed. */
		OPEN,

		/** The figures of the window are fixed. */
		SEALED,

		/**
		 * The window may have been sealed, and its seal lost when the store returned from
		 * an older copy.
		 */
		UNCERTAIN,

		/** A later window has taken the slot, so it is too late to seal the window. */
		CLOSED

	}

}
