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
 * Plans the orders that bring the engines of a service to what the configuration says,
 * one server of a service at a time, so that the others go on serving.
 */
public final class OrderPlanner {

	/** Role of engines that take every kind of work. */
	public static final String MIXED_ROLE = "mixed";

	private OrderPlanner() {
	}

	/**
	 * Plans the next order of a service.
	 * @param service the service
	 * @param vms the VMs of the newest list
	 * @param orders the orders so far
	 * @param takesWork tells whether a server can take an order now
	 * @return the order, or empty if there is nothing to change or a change is under way
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
		boolean underWay = servers.stream().anyMatch((vm) -> orders.of(vm.vm()).open().isPresent());
		if (underWay) {
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
	 * An order to be given.
	 *
	 * @param server the backend server
	 * @param target what its engine shall become
	 */
	public record PlannedOrder(String server, EngineTarget target) {

	}

}
