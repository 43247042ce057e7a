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
import io.anvilusher.sidecar.attempt.ServerGate;

/**
 * Carries out the engine's orders, one at a time. An order is handed to the engine only
 * after the log has accepted its start, and its outcome is found out and appended before
 * the next one can be accepted. Used on the control thread.
 */
public final class OrderExecutor {

	private static final Logger LOGGER = LoggerFactory.getLogger(OrderExecutor.class);

	private static final long TICK_MS = 100;

	private static final long APPEND_TIMEOUT_MS = 4000;

	private static final int MAX_DELIVERIES = 3;

	private final String server;

	private final String incarnation;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final EngineClient engine;

	private final ServerGate gate;

	private final Runnable onGateChange;

	private boolean busy;

	private Optional<String> deliveredOrder = Optional.empty();

	private int deliveries;

	private Optional<OrderSettled> outcome = Optional.empty();

	/**
	 * Creates an executor.
	 * @param server the backend server
	 * @param incarnation incarnation of this process
	 * @param follower the control state
	 * @param appender appends starts and outcomes
	 * @param engine the engine's interface for orders
	 * @param gate takes no attempts while the engine changes
	 * @param onGateChange called when the gate opens or closes
	 */
	public OrderExecutor(String server, String incarnation, ControlFollower follower, RecordAppender appender,
			EngineClient engine, ServerGate gate, Runnable onGateChange) {
		this.server = server;
		this.incarnation = incarnation;
		this.follower = follower;
		this.appender = appender;
		this.engine = engine;
		this.gate = gate;
		this.onGateChange = onGateChange;
	}

	/**
	 * Starts to carry out orders.
	 */
	public void start() {
		this.follower.thread().every(TICK_MS, this::step);
	}

	private void step() {
		if (this.busy) {
			return;
		}
		OrderStep step = OrderStep.next(this.follower.state().orders().of(this.server), this.incarnation, this.outcome);
		if (step instanceof OrderStep.Start start) {
			prepare(start.order());
		}
		else if (step instanceof OrderStep.Settle settle) {
			append(settle.outcome());
		}
		else if (step instanceof OrderStep.Execute execute) {
			execute(execute.order());
		}
		else {
			this.outcome = Optional.empty();
			this.deliveredOrder = Optional.empty();
			setChanging(false);
		}
	}

	private void prepare(EngineOrder order) {
		setChanging(true);
		if (this.gate.view().running() > 0) {
			return;
		}
		append(new OrderStarted(order.orderId(), this.incarnation));
	}

	private void execute(EngineOrder order) {
		setChanging(true);
		this.busy = true;
		// Whatever an earlier incarnation has handed over is waited for before anything
		// else.
		this.engine.state().thenAccept((state) -> this.follower.thread().run(() -> onState(order, state)));
	}

	private void onState(EngineOrder order, Optional<EngineClient.State> state) {
		this.busy = false;
		if (state.isEmpty() || state.get().changing()) {
			return;
		}
		if (state.get().orderId().equals(order.orderId())) {
			settle(order, OrderOutcome.DONE);
			return;
		}
		deliver(order);
	}

	private void deliver(EngineOrder order) {
		if (!this.deliveredOrder.equals(Optional.of(order.orderId()))) {
			this.deliveredOrder = Optional.of(order.orderId());
			this.deliveries = 0;
		}
		if (this.deliveries >= MAX_DELIVERIES) {
			settle(order, OrderOutcome.FAILED);
			return;
		}
		this.deliveries++;
		LOGGER.info("Handing order {} to the engine: {}", order.orderId(), order.target());
		this.busy = true;
		this.engine.order(order).thenAccept((answer) -> this.follower.thread().run(() -> {
			this.busy = false;
			switch (answer) {
				case DONE -> settle(order, OrderOutcome.DONE);
				case REFUSED -> settle(order, OrderOutcome.REFUSED);
				case NONE -> LOGGER.info("No answer to order {}; asking the engine", order.orderId());
			}
		}));
	}

	private void settle(EngineOrder order, OrderOutcome result) {
		LOGGER.info("Order {} ended: {}", order.orderId(), result);
		this.outcome = Optional.of(new OrderSettled(order.orderId(), this.incarnation, result));
		append(this.outcome.get());
	}

	private void append(Fact fact) {
		this.busy = true;
		this.appender.append(fact, APPEND_TIMEOUT_MS)
			.thenAccept((decision) -> this.follower.thread().run(() -> this.busy = false));
	}

	private void setChanging(boolean changing) {
		if (this.gate.setChanging(changing)) {
			this.onGateChange.run();
		}
	}

}
