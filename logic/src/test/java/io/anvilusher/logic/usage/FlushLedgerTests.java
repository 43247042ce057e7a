package io.anvilusher.logic.usage;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import io.anvilusher.logic.fold.UsageState;
import io.anvilusher.model.usage.UsageLine;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class FlushLedgerTests {

	private static final List<UsageLine> ONE = List.of(new UsageLine("w", "s", 1, 10, 5));

	private static UsageState sealed(Map<String, Long> through) {
		return new UsageState(Map.of(), Map.of(), through);
	}

	@Test
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.LATE_MESSAGE, step = Step.USAGE_FLUSH)
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.LOST_ANSWER, step = Step.USAGE_FLUSH)
	public void flushHandedOverTwiceCountsOnce() {
		FlushLedger ledger = new FlushLedger();
		ledger.add("e", 1, ONE);
		ledger.add("e", 1, ONE);
		assertEquals(ledger.next(sealed(Map.of())).lines(), ONE);
	}

	@Test
	@Proves(promise = Promise.ONE_REPORT_PER_WINDOW, fault = Fault.KILL, step = Step.USAGE_FLUSH)
	public void flushThatASealedWindowContainsIsNotCountedByASuccessor() {
		FlushLedger successor = new FlushLedger();
		successor.add("e", 1, ONE);
		successor.add("e", 2, ONE);
		FlushLedger.Window window = successor.next(sealed(Map.of("e", 1L)));
		assertEquals(window.lines(), ONE);
		assertEquals(window.flushedThrough(), Map.of("e", 2L));
	}

	@Test
	public void laterFlushWaitsForAnEarlierOne() {
		FlushLedger ledger = new FlushLedger();
		ledger.add("e", 2, ONE);
		assertTrue(ledger.next(sealed(Map.of())).lines().isEmpty());
		ledger.add("e", 1, ONE);
		assertEquals(ledger.next(sealed(Map.of())).lines().get(0).requests(), 2);
	}

	@Test
	public void countsAreSentUntilASealedWindowContainsThem() {
		FlushQueue queue = new FlushQueue();
		queue.add(ONE);
		queue.add(ONE);
		queue.onSealedThrough(1);
		assertEquals(queue.open().keySet().toString(), "[2]");
	}

}
