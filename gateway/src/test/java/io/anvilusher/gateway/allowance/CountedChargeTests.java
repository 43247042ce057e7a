package io.anvilusher.gateway.allowance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.logic.allowance.AllowanceCharge;
import io.anvilusher.logic.allowance.AllowanceDecision;
import io.anvilusher.logic.allowance.AllowanceTerms;
import io.anvilusher.logic.allowance.LocalAllowance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests {@link CountedCharge}.
 */
public class CountedChargeTests {

	private final List<String> calls = new ArrayList<>();

	private boolean failing;

	private CountedCharge charge;

	@BeforeMethod
	public void admit() {
		this.calls.clear();
		this.failing = false;
		LocalAllowance local = new LocalAllowance(AllowanceTerms.DEFAULT, "g", 1);
		local.setLimits(Map.of(), 0);
		AllowanceDecision.Admitted admitted = (AllowanceDecision.Admitted) local.admit("w", 3, 0);
		this.charge = new CountedCharge(new Guard(), admitted.charge());
	}

	/** Guards against a cost that is kept, or returned twice, without an attempt. */
	@Test
	public void costIsReturnedOnceIfTheRequestWasNotSent() {
		this.charge.end();
		this.charge.end();
		assertEquals(this.calls, List.of("returned 3"));
	}

	/** Guards against a cost that is returned although a server may run the request. */
	@Test
	public void costIsKeptIfAnAttemptMayHaveRun() {
		this.charge.onSending();
		this.charge.onNotRun();
		this.charge.onSending();
		this.charge.end();
		assertEquals(this.calls, List.of("sent 3", "sent 3"));
	}

	/** Guards against a cost that is kept although all servers refused the request. */
	@Test
	public void costIsReturnedIfNoAttemptRan() {
		this.charge.onSending();
		this.charge.onNotRun();
		this.charge.end();
		assertEquals(this.calls, List.of("sent 3", "returned 3"));
	}

	/** Guards against a cost that is kept for ever after an unexpected exception. */
	@Test
	public void costIsReturnedByTheNextCallAfterAnException() {
		this.failing = true;
		assertThrows(IllegalStateException.class, this.charge::end);
		this.failing = false;
		this.charge.end();
		assertEquals(this.calls, List.of("returned 3"));
	}

	private final class Guard implements AllowanceGuard {

		@Override
		public AllowanceDecision admit(String workspace, long cost) {
			throw new IllegalStateException("not used");
		}

		@Override
		public void markSent(AllowanceCharge sent) {
			CountedChargeTests.this.calls.add("sent " + sent.cost());
		}

		@Override
		public void giveBack(AllowanceCharge returned) {
			if (CountedChargeTests.this.failing) {
				throw new IllegalStateException("thrown by the test");
			}
			CountedChargeTests.this.calls.add("returned " + returned.cost());
		}

	}

}
