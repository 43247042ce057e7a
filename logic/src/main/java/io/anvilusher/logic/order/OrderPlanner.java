package io.anvilusher.logic.order;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.anvilusher.logic.fold.OrderState;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.fleet.Vm;
import io.anvilusher.model.order.EngineTarget;

/**
 * Plans the orders that bring the engines of a service to the model, version and adapter
 * in the configuration. Changes one server of a service at a time, so that the other
 * servers continue to serve requests.
 */
public final class OrderPlanner {

	/** Role of engines that do both prefill and decode. */
	public static final String MIXED_ROLE = "mixed";

	private OrderPlanner() {
	}

	/**
	 * Plans the next order for a service.
	 * @param service the service from the configuration
	 * @param vms the VMs in the newest list of the platform
	 * @param orders the order state
	 * @param takesWork returns whether the server of a given name takes new work
	 * @return the order, or empty if no server needs a change or an order for a server of
	 * the service is open
	 */
	public static Optional<PlannedOrder> next(ServiceSpec service, List<Vm> vms, OrderState orders,
			Predicate<String> takesWork) {
		if (service.engine().isEmpty() || service.models().isEmpty()) {
			return Optional.empty();
		}
		List<Vm> servers = vms.stream()
			.filter((vm) -> vm.service().equals(service.name()) && !vm.leaving())
			.sorted(Comparator.comparing(Vm::vm))
			.toList();
		boolean orderOpen = servers.stream().anyMatch((vm) -> orders.of(vm.vm()).open().isPresent());
		if (orderOpen) {
			return Optional.empty();
		}
		return servers.stream()
			.filter((vm) -> takesWork.test(vm.vm()))
			.map((vm) -> new PlannedOrder(vm.vm(), target(service, vm.vm(), orders)))
			.filter((planned) -> !orders.of(planned.server()).done().equals(Optional.of(planned.target())))
			.findFirst();
	}

	private static EngineTarget target(ServiceSpec service, String server, OrderState orders) {
		String role = orders.of(server).done().map(EngineTarget::role).orElse(MIXED_ROLE);
		return new EngineTarget(role, service.models().get(0), service.engine().orElseThrow().adapter(),
				service.engine().orElseThrow().version());
	}

	/**
	 * An order that was planned but not yet appended to the log.
	 *
	 * @param server name of the backend server
	 * @param target the role, model, adapter and version that its engine must change to
	 */
	public record PlannedOrder(String server, EngineTarget target) {

	}

}
