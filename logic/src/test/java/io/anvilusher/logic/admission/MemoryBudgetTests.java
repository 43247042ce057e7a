package io.anvilusher.logic.admission;

import java.util.List;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link MemoryBudget}.
 */
public class MemoryBudgetTests {

	private static final long MAX_BYTES = 16 * 1024 * 1024;

	private static final long LARGE_BYTES = 4 * 1024 * 1024;

	private final MemoryBudget budget = new MemoryBudget(MAX_BYTES);

	/** Guards against many large messages that are within the limit of a single one. */
	@Test
	public void largeMessagesLeaveRoomForSmallOnes() {
		List<MemoryBudget.Account> large = Stream.generate(this.budget::open).limit(8).toList();
		assertEquals(large.stream().filter((account) -> account.tryResize(LARGE_BYTES)).count(), 3);
		long small = Stream.generate(this.budget::open)
			.limit(1_000)
			.filter((account) -> account.tryResize(MemoryBudget.SMALL_MESSAGE_BYTES))
			.count();
		assertEquals(small, LARGE_BYTES / MemoryBudget.SMALL_MESSAGE_BYTES);
		assertEquals(this.budget.heldBytes(), MAX_BYTES);
		large.forEach(MemoryBudget.Account::release);
		assertTrue(this.budget.open().tryResize(LARGE_BYTES));
	}

	@Test
	public void refusedGrowthKeepsWhatIsHeld() {
		MemoryBudget small = new MemoryBudget(1_000);
		MemoryBudget.Account account = small.open();
		assertTrue(account.tryResize(900));
		assertFalse(account.tryResize(1_001));
		assertEquals(small.heldBytes(), 900);
		assertEquals(small.refusals(), 1);
		account.release();
		account.release();
		assertEquals(small.heldBytes(), 0);
	}

}
