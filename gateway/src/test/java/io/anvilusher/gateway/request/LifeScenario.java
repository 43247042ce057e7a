package io.anvilusher.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;
import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RouteKind;
import io.anvilusher.model.routing.WeightedService;

/**
 * The kind of request whose life is explored, and the service that runs it.
 *
 * @param name name of the scenario
 * @param kind kind of the route
 * @param prompt the prompt; empty for a plain service
 * @param coordinated whether a coordinator places the request
 * @param limited whether the servers have limits
 */
record LifeScenario(String name, RouteKind kind, Optional<PromptShape> prompt, boolean coordinated, boolean limited) {

	static final String SERVICE = "service";

	static final long TIMEOUT_MS = 1_000;

	private static final Optional<PromptShape> LONG = Optional
		.of(new PromptShape(3_000, 20, List.of(new PromptPart("a", 2_500), new PromptPart("b", 500))));

	private static final Optional<PromptShape> SHORT = Optional
		.of(new PromptShape(20, 20, List.of(new PromptPart("b", 20))));

	static List<LifeScenario> all() {
		return List.of(new LifeScenario("coordinated stream", RouteKind.EVENT_STREAM, LONG, true, false),
				new LifeScenario("stream with a long prompt", RouteKind.EVENT_STREAM, LONG, false, false),
				new LifeScenario("stream with a short prompt", RouteKind.EVENT_STREAM, SHORT, false, false),
				new LifeScenario("coordinated stream at limited engines", RouteKind.EVENT_STREAM, LONG, true, true),
				new LifeScenario("stream at limited engines", RouteKind.EVENT_STREAM, LONG, false, true),
				new LifeScenario("booking", RouteKind.AT_MOST_ONCE, Optional.empty(), false, false),
				new LifeScenario("booking at limited servers", RouteKind.AT_MOST_ONCE, Optional.empty(), false, true),
				new LifeScenario("lookup", RouteKind.IDEMPOTENT, Optional.empty(), false, false));
	}

	Route route() {
		return new Route("route", "host", "/", this.kind, TIMEOUT_MS, 100, 50, 0,
				List.of(new WeightedService(SERVICE, 1)), 3, true, this.prompt.isPresent(), false);
	}

	/**
	 * Returns the servers of the service.
	 * @param roleChanged whether the first prefill engine has become a decode engine
	 * @return two prefill engines and two decode engines, or three plain servers
	 */
	List<RegisteredServer> servers(boolean roleChanged) {
		if (this.prompt.isEmpty()) {
			return IntStream.range(0, 3).mapToObj((index) -> server("s" + index, index, Optional.empty())).toList();
		}
		EngineRole changed = roleChanged ? EngineRole.DECODE : EngineRole.PREFILL;
		return Stream
			.of(server("p0", 0, Optional.of(changed)), server("p1", 1, Optional.of(EngineRole.PREFILL)),
					server("d0", 2, Optional.of(EngineRole.DECODE)), server("d1", 3, Optional.of(EngineRole.DECODE)))
			.toList();
	}

	private static RegisteredServer server(String id, int index, Optional<EngineRole> role) {
		return new RegisteredServer(id, 1, SERVICE, "10.0.0." + index + ":80", "a", 8, false, role);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
