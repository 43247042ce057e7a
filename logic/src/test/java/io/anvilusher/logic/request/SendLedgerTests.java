package io.anvilusher.logic.request;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class SendLedgerTests {

	private final SendLedger ledger = new SendLedger();

	@Test
	public void onlyAStartedSendWithoutProofMayHaveRun() {
		SendLedger.Send unsent = this.ledger.add("one", "none");
		assertFalse(unsent.isStarted() || this.ledger.mayHaveRun());
		SendLedger.Send refused = this.ledger.add("two", "fetch");
		refused.onStarted();
		assertTrue(this.ledger.mayHaveRun());
		refused.onRefused();
		SendLedger.Send prefilled = this.ledger.add("three", "prefill");
		prefilled.onStarted();
		prefilled.onPrefilled();
		assertFalse(this.ledger.mayHaveRun());
		assertTrue(refused.isStarted() && prefilled.isStarted());
		this.ledger.add("four", "none").onStarted();
		assertTrue(this.ledger.mayHaveRun());
		assertEquals(this.ledger.describe(),
				"none@one=not_sent, fetch@two=refused, prefill@three=prefilled, none@four=unproven");
	}

	@Test
	public void startingTwiceDoesNotUndoAProof() {
		SendLedger other = new SendLedger();
		SendLedger.Send send = other.add("one", "none");
		send.onStarted();
		send.onRefused();
		send.onStarted();
		assertFalse(other.mayHaveRun());
		assertTrue(other.contains("one"));
		assertFalse(other.contains("two"));
	}

}
