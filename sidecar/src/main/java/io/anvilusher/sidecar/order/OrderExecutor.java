package io.anvilusher.sidecar.order;

import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.logic.order.OrderStep;
import io.anvilusher.model.fact.Fact;
import io.anvilusher.model.fact.OrderSettled;
import io.anvilusher.model.fact.OrderStarted;
import io.anvilusher.model.order.EngineOrder;
import io.anvilusher.model.order.OrderOutcome;
import io.anvilusher.sidecar.attempt.AdmissionGate;

/**
 * Executes the orders for the engine, one at a time. An order is sent to the engine only
 * after the control log has accepted its start, and its outcome is determined and
 * appended to the log before the next order can be accepted. Confined to the control
 * thread.
 */
public final class OrderExecutor {

	private static final Logger LOGGER = LoggerFactory.getLogger(OrderExecutor.class);

	private static final long POLL_INTERVAL_MS = 100;

	private static final long APPEND_TIMEOUT_MS = 4000;

	private static final int MAX_SENDS = 3;

	private final String server;

	private final String incarnation;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final EngineClient engine;

	private final AdmissionGate gate;

	private final Runnable onGateChange;

	private boolean operationPending;

	private Optional<String> sentOrder = Optional.empty();

	private int sendCount;

	private Optional<OrderSettled> outcome = Optional.empty();

	/**
	 * Creates an executor for the orders of one server.
	 * @param server name of the backend server
	 * @param incarnation incarnation of this process
	 * @param follower provides the control state and the control thread
	 * @param appender appends starts and outcomes of orders to the control log
	 * @param engine sends orders to the engine
	 * @param gate refuses attempts while an order changes the engine
	 * @param onGateChange called when the gate starts or stops refusing attempts
	 */
	public OrderExecutor(String server, String incarnation, ControlFollower follower, RecordAppender appender,
			EngineClient engine, AdmissionGate gate, Runnable onGateChange) {
		this.server = server;
		this.incarnation = incarnation;
		this.follower = follower;
		this.appender = appender;
		this.engine = engine;
		this.gate = gate;
		this.onGateChange = onGateChange;
	}

	/**
	 * Starts to poll the control state for orders.
	 */
	public void start() {
		this.follower.thread().every(POLL_INTERVAL_MS, this::executeNextStep);
	}

	private void executeNextStep() {
		if (this.operationPending) {
			return;
		}
		OrderStep step = OrderStep.next(this.follower.state().orders().of(this.server), this.incarnation, this.outcome);
		if (step instanceof OrderStep.Start start) {
			startWhenIdle(start.order());
		}
		else if (step instanceof OrderStep.Settle settle) {
			append(settle.outcome());
		}
		else if (step instanceof OrderStep.Execute execute) {
			execute(execute.order());
		}
		else {
			this.outcome = Optional.empty();
			this.sentOrder = Optional.empty();
			setChanging(false);
		}
	}

	private void startWhenIdle(EngineOrder order) {
		setChanging(true);
		if (this.gate.snapshot().running() > 0) {
			return;
		}
		append(new OrderStarted(order.orderId(), this.incarnation));
	}

	private void execute(EngineOrder order) {
		setChanging(true);
		this.operationPending = true;
		// An order that an earlier incarnation of the sidecar sent may still be executed;
		// the state of the engine shows this before another order is sent.
		this.engine.readState().thenAccept((state) -> this.follower.thread().run(() -> onState(order, state)));
	}

	private void onState(EngineOrder order, Optional<EngineClient.State> state) {
		this.operationPending = false;
		if (state.isEmpty() || state.get().changing()) {
			return;
		}
		if (state.get().orderId().equals(order.orderId())) {
			settle(order, OrderOutcome.DONE);
			return;
		}
		send(order);
	}

	private void send(EngineOrder order) {
		if (!this.sentOrder.equals(Optional.of(order.orderId()))) {
			this.sentOrder = Optional.of(order.orderId());
			this.sendCount = 0;
		}
		if (this.sendCount >= MAX_SENDS) {
			settle(order, OrderOutcome.FAILED);
			return;
		}
		this.sendCount++;
		LOGGER.info("Sending order {} to the engine: {}", order.orderId(), order.target());
		this.operationPending = true;
		this.engine.sendOrder(order).thenAccept((response) -> this.follower.thread().run(() -> {
			this.operationPending = false;
			switch (response) {
				case DONE -> settle(order, OrderOutcome.DONE);
				case REFUSED -> settle(order, OrderOutcome.REFUSED);
				case NONE -> LOGGER.info("No response to order {}; reading the state of the engine", order.orderId());
			}
		}));
	}

	private void settle(EngineOrder order, OrderOutcome orderOutcome) {
		LOGGER.info("Order {} ended: {}", order.orderId(), orderOutcome);
		this.outcome = Optional.of(new OrderSettled(order.orderId(), this.incarnation, orderOutcome));
		append(this.outcome.get());
	}

	private void append(Fact fact) {
		this.operationPending = true;
		this.appender.append(fact, APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.operationPending = false));
	}

	private void setChanging(boolean changing) {
		if (this.gate.setChanging(changing)) {
			this.onGateChange.run();
		}
	}

}
