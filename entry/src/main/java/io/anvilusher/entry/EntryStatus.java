package io.anvilusher.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.entry.controller.ControlPlane;
import io.anvilusher.entry.dispatch.Dispatcher;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.fleet.FleetWatcher;

/**
 * Writes the status of an entry, as served by its admin interface, as JSON.
 */
final class EntryStatus {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private EntryStatus() {
	}

	static String write(ProcessIdentity identity, ControlFollower follower, ServerDirectory directory,
			Dispatcher dispatcher, FleetWatcher fleet, ControlPlane plane) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("process", identity.name());
		root.put("data_centre", identity.dataCentre());
		root.put("offset", follower.state().appliedOffset());
		root.put("state_age_ms", follower.ageMs());
		root.put("log_regressed", follower.regressed());
		root.put("configuration_version", follower.state().configuration().versionOffset());
		root.put("keys", follower.state().keys().byId().size());
		root.put("active_requests", dispatcher.activeRequests());
		root.put("holds_lease", plane.holdsLease());
		root.put("vms", fleet.vms().size());
		ArrayNode servers = root.putArray("servers");
		directory.status().forEach((server) -> {
			ObjectNode node = servers.addObject();
			node.put("server", server.server());
			node.put("service", server.service());
			node.put("data_centre", server.dataCentre());
			node.put("running", server.running());
			node.put("slots", server.slots());
			node.put("own_outstanding", server.ownOutstanding());
			node.put("takes_work", server.takesWork());
			node.put("offset", server.stateOffset());
		});
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not serialize the status as JSON", ex);
		}
	}

}
