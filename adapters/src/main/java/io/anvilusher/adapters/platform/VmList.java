package io.anvilusher.adapters.platform;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.adapters.http.HttpCallResponse;
import io.anvilusher.model.fleet.Vm;
import io.anvilusher.model.fleet.VmRole;

/**
 * Reads the platform's list of VMs from {@code GET /vms}. The list may lag behind the VMs
 * that actually exist.
 */
public final class VmList {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final BufferingHttpClient httpClient;

	private final URI target;

	private final long timeoutMs;

	/**
	 * Creates a client of the list.
	 * @param httpClient client that makes the HTTP calls
	 * @param target scheme, host and port of the platform
	 * @param timeoutMs maximum time to wait for a response, in ms
	 */
	public VmList(BufferingHttpClient httpClient, URI target, long timeoutMs) {
		this.httpClient = httpClient;
		this.target = target;
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Reads the list.
	 * @return the VMs, or empty if the list could not be read; never completes
	 * exceptionally
	 */
	public CompletableFuture<Optional<List<Vm>>> read() {
		return this.httpClient.call(HttpCall.of("GET", this.target, "/vms", new byte[0]), this.timeoutMs)
			.handle((response, failure) -> (failure != null) ? Optional.empty() : vms(response));
	}

	private static Optional<List<Vm>> vms(HttpCallResponse response) {
		if (!response.isSuccess()) {
			return Optional.empty();
		}
		try {
			JsonNode vms = MAPPER.readTree(response.body()).path("vms");
			return vms.isArray() ? Optional.of(StreamSupport.stream(vms.spliterator(), false).map(VmList::vm).toList())
					: Optional.empty();
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static Vm vm(JsonNode node) {
		return new Vm(node.path("vm").asText(), node.path("data_centre").asText(), node.path("address").asText(),
				VmRole.valueOf(node.path("role").asText().toUpperCase(Locale.ROOT)), node.path("service").asText(""),
				node.path("leaving").asBoolean());
	}

}
