package io.anvilusher.logic.request;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class SendLedgerTests {

	private final SendLedger ledger = new SendLedger();

	@Test
	public void onlyAStartedSendWithoutProofMayHaveRun() {
		SendLedger.Send unsent = this.ledger.add("one", "10.0.0.1:one", "none");
		assertFalse(unsent.isStarted() || this.ledger.mayHaveRun());
		SendLedger.Send refused = this.ledger.add("two", "10.0.0.1:two", "fetch");
		refused.onStarted();
		assertTrue(this.ledger.mayHaveRun());
		refused.onRefused();
		SendLedger.Send prefilled = this.ledger.add("three", "10.0.0.1:three", "prefill");
		prefilled.onStarted();
		prefilled.onPrefilled();
		assertFalse(this.ledger.mayHaveRun());
		assertTrue(refused.isStarted() && prefilled.isStarted());
		this.ledger.add("four", "10.0.0.1:four", "none").onStarted();
		assertTrue(this.ledger.mayHaveRun());
		assertEquals(this.ledger.describe(),
				"none@one=not_sent, fetch@two=refused, prefill@three=prefilled, none@four=unproven");
	}

	@Test
	public void startingTwiceDoesNotUndoAProof() {
		SendLedger other = new SendLedger();
		SendLedger.Send send = other.add("one", "10.0.0.1:one", "none");
		send.onStarted();
		send.onRefused();
		send.onStarted();
		assertFalse(other.mayHaveRun());
		assertTrue(other.containsAddress("10.0.0.1:one"));
		assertFalse(other.containsAddress("10.0.0.1:two"));
	}

	/**
	 * Guards against a refusal of one server that is taken for that of another one, which
	 * got the address and so the kept connections.
	 */
	@Test
	public void serverThatStartedAgainUnderAnotherIdIsTheSameAddress() {
		this.ledger.add("before", "10.0.0.1:80", "none");
		assertTrue(this.ledger.containsAddress("10.0.0.1:80"));
		assertFalse(this.ledger.containsAddress("10.0.0.1:81"));
	}

}
