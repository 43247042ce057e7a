package io.anvilusher.gateway.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;

/**
 * Calls only engines that currently take requests, and holds back all other calls, as
 * well as polls that would take a large part of an engine's limit.
 */
public final class AvailableEngineControl implements EngineControlClient {

	private final EngineControlClient delegate;

	private final Predicate<RegisteredServer> accepting;

	private final Predicate<RegisteredServer> polled;

	private final Consumer<RegisteredServer> callListener;

	private final Executor trafficThread;

	/**
	 * Creates a client.
	 * @param delegate makes the calls
	 * @param accepting returns whether an engine takes requests; called on the traffic
	 * thread
	 * @param polled returns whether an engine may be asked for reports; called on the
	 * traffic thread
	 * @param callListener is told each engine that is called, on the traffic thread
	 * @param trafficThread runs tasks on the traffic thread
	 */
	public AvailableEngineControl(EngineControlClient delegate, Predicate<RegisteredServer> accepting,
			Predicate<RegisteredServer> polled, Consumer<RegisteredServer> callListener, Executor trafficThread) {
		this.delegate = delegate;
		this.accepting = accepting;
		this.polled = polled;
		this.callListener = callListener;
		this.trafficThread = trafficThread;
	}

	@Override
	public CompletableFuture<Optional<EngineReport>> report(RegisteredServer engine) {
		return callIf(this.polled, engine, () -> this.delegate.report(engine), Optional.empty());
	}

	@Override
	public CompletableFuture<Outcome> changeRole(RegisteredServer engine, EngineRole role, OrderIssuer issuer,
			long ordersBefore) {
		return callIf((target) -> true, engine, () -> this.delegate.changeRole(engine, role, issuer, ordersBefore),
				Outcome.HELD_BACK);
	}

	// Sends no request, so a server that takes none may still be asked.
	@Override
	public CompletableFuture<Boolean> acceptsConnections(RegisteredServer server) {
		return this.delegate.acceptsConnections(server);
	}

	private <T> CompletableFuture<T> callIf(Predicate<RegisteredServer> allowed, RegisteredServer engine,
			Supplier<CompletableFuture<T>> call, T heldBack) {
		return CompletableFuture.supplyAsync(() -> checkCall(engine, allowed), this.trafficThread)
			.thenCompose((accepts) -> accepts ? call.get() : CompletableFuture.completedFuture(heldBack));
	}

	private boolean checkCall(RegisteredServer engine, Predicate<RegisteredServer> allowed) {
		boolean accepts = this.accepting.test(engine) && allowed.test(engine);
		if (accepts) {
			this.callListener.accept(engine);
		}
		return accepts;
	}

}
