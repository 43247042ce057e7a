package io.anvilusher.gateway.request;

import java.util.HashSet;
import java.util.IntSummaryStatistics;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.anvilusher.gateway.fleet.ServerRegistry;
import io.anvilusher.gateway.peer.ManagedPeerChannel;
import io.anvilusher.gateway.placement.PlacementClient;
import io.anvilusher.gateway.placement.PlacementTicket;
import io.anvilusher.logic.routing.RouteIndex;
import io.anvilusher.model.request.PromptShape;
import io.anvilusher.model.routing.Route;
import io.anvilusher.model.routing.RoutingTable;

/**
 * Decides which services have coordinated placement and asks for it. A service has it if
 * its servers report the relative time of their machines, or if the priorities of its
 * routes differ by so much that the operator wants some to yield. Used on the traffic
 * thread.
 */
public final class CoordinatedPlacement {

	/**
	 * Difference between the priorities of the routes of a service from which its
	 * requests compete by priority. Neighbouring classes do not.
	 */
	static final int MIN_PRIORITY_DIFFERENCE = 2;

	private final PlacementClient client;

	private final ManagedPeerChannel peers;

	private final ServerRegistry serverRegistry;

	private final Supplier<Optional<RouteIndex>> routes;

	private final LongSupplier nowMs;

	private final Set<String> relativeTimeServices = new HashSet<>();

	private Set<String> priorityServices = Set.of();

	private long tableVersion = Long.MIN_VALUE;

	/**
	 * Creates the policy.
	 * @param client asks coordinators
	 * @param peers messages to other gateways
	 * @param serverRegistry the servers that take new requests
	 * @param routes returns the routing table in use
	 * @param nowMs returns the current time of the monotonic clock, in ms
	 */
	public CoordinatedPlacement(PlacementClient client, ManagedPeerChannel peers, ServerRegistry serverRegistry,
			Supplier<Optional<RouteIndex>> routes, LongSupplier nowMs) {
		this.client = client;
		this.peers = peers;
		this.serverRegistry = serverRegistry;
		this.routes = routes;
		this.nowMs = nowMs;
	}

	void onRelativeTimeReported(String service) {
		if (this.relativeTimeServices.add(service)) {
			this.peers.activate();
		}
	}

	/**
	 * Applies a routing table: starts the messages between gateways if one of its
	 * services needs them. May be called from any thread.
	 * @param table the table
	 */
	public void onTable(RoutingTable table) {
		if (!servicesWithPriorities(table).isEmpty()) {
			this.peers.activate();
		}
	}

	private static Set<String> servicesWithPriorities(RoutingTable table) {
		Set<String> services = new HashSet<>();
		table.services().keySet().forEach((service) -> {
			IntSummaryStatistics priorities = table.routes()
				.stream()
				.filter(Route::carriesPrompt)
				.filter((route) -> route.split().stream().anyMatch((share) -> share.service().equals(service)))
				.mapToInt(Route::priority)
				.summaryStatistics();
			if (priorities.getCount() > 0 && priorities.getMax() - priorities.getMin() >= MIN_PRIORITY_DIFFERENCE) {
				services.add(service);
			}
		});
		return services;
	}

	private boolean isCoordinated(String service) {
		this.routes.get()
			.map(RouteIndex::table)
			.filter((table) -> table.version() != this.tableVersion)
			.ifPresent((table) -> {
				this.tableVersion = table.version();
				this.priorityServices = servicesWithPriorities(table);
			});
		return this.relativeTimeServices.contains(service) || this.priorityServices.contains(service);
	}

	Optional<PlacementTicket> ask(RequestInput input, PromptShape prompt, Set<String> excludedServers,
			PlacementTicket.Listener listener) {
		if (!isCoordinated(input.service()) || this.peers.peers().isEmpty()) {
			return Optional.empty();
		}
		List<?> engines = this.serverRegistry.servers(input.service());
		long now = this.nowMs.getAsLong();
		return Optional.of(this.client.ask(engines.size(),
				new PlacementClient.Asked(input.service(), prompt, input.arrivedAtMs() + input.route().targetMs() - now,
						input.timeoutAtMs() - now, input.route().priority(), excludedServers),
				listener));
	}

}
