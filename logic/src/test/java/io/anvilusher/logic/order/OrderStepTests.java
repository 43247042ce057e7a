package io.anvilusher.logic.order;

import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.logic.fold.InMemoryLog;
import io.anvilusher.logic.fold.ServerOrders;
import io.anvilusher.model.fact.LeaseClaimed;
import io.anvilusher.model.fact.OrderIntended;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.fact.OrderStarted;
import io.anvilusher.model.order.EngineTarget;
import io.anvilusher.model.order.OrderOutcome;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertTrue;

public class OrderStepTests {

	private static final OrderSettled FIRST_DONE = new OrderSettled("o1", "side", OrderOutcome.DONE);

	private InMemoryLog log;

	private long term;

	@BeforeMethod
	public void orderInTheLog() {
		this.log = new InMemoryLog();
		this.log.append(new LeaseClaimed("l", "a", 0, 1000));
		this.term = this.log.offset();
		intend("o1", "v1", 0);
	}

	private void intend(String orderId, String version, long base) {
		this.log
			.append(new OrderIntended(orderId, "l", this.term, "s", new EngineTarget("mixed", "m", "", version), base));
	}

	private OrderStep next(Optional<OrderSettled> known) {
		ServerOrders orders = this.log.state().orders().of("s");
		return OrderStep.next(orders, "side", known);
	}

	@Test
	public void orderIsStartedInTheLogBeforeItIsExecuted() {
		assertTrue(next(Optional.empty()) instanceof OrderStep.Start);
		this.log.append(new OrderStarted("o1", "side"));
		assertTrue(next(Optional.empty()) instanceof OrderStep.Execute);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.LOST_ANSWER, step = Step.ORDER_SETTLEMENT)
	public void knownOutcomeIsAppendedAgainRatherThanTheOrderExecutedAgain() {
		this.log.append(new OrderStarted("o1", "side"));
		assertTrue(next(Optional.of(FIRST_DONE)) instanceof OrderStep.Settle);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.LATE_MESSAGE, step = Step.ORDER_SETTLEMENT)
	public void outcomeOfTheOrderBeforeDoesNotStandForTheNextOne() {
		this.log.append(new OrderStarted("o1", "side"));
		this.log.append(FIRST_DONE);
		intend("o2", "v2", this.log.offset());
		this.log.append(new OrderStarted("o2", "side"));
		assertTrue(next(Optional.of(FIRST_DONE)) instanceof OrderStep.Execute);
	}

	@Test
	@Proves(promise = Promise.NO_CONFLICTING_ORDERS, fault = Fault.KILL, step = Step.ORDER_SETTLEMENT)
	public void orderOfAnEarlierIncarnationIsTakenOver() {
		this.log.append(new OrderStarted("o1", "side-before"));
		assertTrue(next(Optional.empty()) instanceof OrderStep.Start);
	}

}
