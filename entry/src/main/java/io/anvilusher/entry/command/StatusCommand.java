package io.anvilusher.entry.command;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;

import io.anvilusher.adapters.process.ExitCode;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fleet.Vm;
import io.anvilusher.model.lease.Lease;
import io.anvilusher.model.order.EngineOrder;
import io.anvilusher.protocol.codec.JsonMappers;

/**
 * Prints the state of the system, read from the log and from the platform's list of VMs.
 */
@Parameters(commandDescription = "Shows configuration, leases, open orders and VMs")
public final class StatusCommand extends PlatformCommand {

	@Parameter(names = "--json", description = "Prints the status as JSON")
	private boolean json;

	@Override
	ExitCode run(PlatformSession session) {
		Optional<List<Vm>> vms = session.vmList().read().join();
		ControlState state = session.state();
		if (this.json) {
			return printJson(state, vms.orElse(List.of()));
		}
		System.out.printf("configuration  version %d by %s%n", state.configuration().versionOffset(),
				state.configuration().author());
		System.out.printf("log            offset %d%n", state.appliedOffset());
		System.out.printf("keys           %d valid, %d withdrawn%n",
				state.keys().byId().values().stream().filter((key) -> !key.withdrawn()).count(),
				state.keys().byId().values().stream().filter((key) -> key.withdrawn()).count());
		state.leases()
			.byName()
			.values()
			.forEach((lease) -> System.out.printf("lease          %s held by %s, term %d%s%n", lease.name(),
					lease.holder(), lease.term(), lease.released() ? ", released" : ""));
		state.orders()
			.byServer()
			.values()
			.forEach((orders) -> orders.open()
				.ifPresent((order) -> System.out.printf("order          %s for %s: %s%s%n", order.orderId(),
						order.server(), order.target(), order.isStarted() ? ", started" : "")));
		vms.ifPresentOrElse(StatusCommand::printVms, () -> System.out.println("vms            list unavailable"));
		return ExitCode.OK;
	}

	private static void printVms(List<Vm> vms) {
		System.out.printf("%-24s %-16s %-8s %-12s %-22s %s%n", "VM", "DATA CENTRE", "ROLE", "SERVICE", "ADDRESS",
				"STATE");
		vms.forEach((vm) -> System.out.printf("%-24s %-16s %-8s %-12s %-22s %s%n", vm.vm(), vm.dataCentre(),
				vm.role().name().toLowerCase(Locale.ROOT), vm.service().isEmpty() ? "-" : vm.service(), vm.address(),
				vm.leaving() ? "leaving" : "live"));
	}

	private static ExitCode printJson(ControlState state, List<Vm> vms) {
		try {
			System.out.println(JsonMappers.model()
				.writeValueAsString(new Status(state.appliedOffset(), state.configuration().versionOffset(),
						state.configuration().author(), List.copyOf(state.leases().byName().values()),
						state.orders()
							.byServer()
							.values()
							.stream()
							.flatMap((orders) -> orders.open().stream())
							.toList(),
						vms)));
			return ExitCode.OK;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not serialize the status as JSON", ex);
		}
	}

	private record Status(long offset, long configurationVersion, String author, List<Lease> leases,
			List<EngineOrder> openOrders, List<Vm> vms) {

	}

}
