package io.anvilusher.entry.http;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.entry.dispatch.ResponseSink;
import io.anvilusher.logic.key.PresentedKey;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.model.config.RouteSpec;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.config.WorkspaceSpec;
import io.anvilusher.model.request.RefusalReason;

/**
 * A request that passes through the filters, and the properties that they have determined
 * so far.
 */
public final class CallerExchange {

	private final HttpServerExchange http;

	private final ResponseSink sink;

	private final String requestId;

	private final Configuration configuration;

	private final long receivedAtMs;

	private final Meters meters;

	private Optional<ServiceSpec> service = Optional.empty();

	private Optional<RouteSpec> route = Optional.empty();

	private Optional<PresentedKey> key = Optional.empty();

	private Optional<WorkspaceSpec> workspace = Optional.empty();

	private byte[] body = new byte[0];

	private Optional<ChatRequest> chat = Optional.empty();

	CallerExchange(HttpServerExchange http, ResponseSink sink, String requestId, Configuration configuration,
			long receivedAtMs, Meters meters) {
		this.http = http;
		this.sink = sink;
		this.requestId = requestId;
		this.configuration = configuration;
		this.receivedAtMs = receivedAtMs;
		this.meters = meters;
	}

	HttpServerExchange http() {
		return this.http;
	}

	ResponseSink sink() {
		return this.sink;
	}

	String requestId() {
		return this.requestId;
	}

	/**
	 * Returns the configuration that was in force when the request arrived and that
	 * applies to it until it ends.
	 * @return the configuration
	 */
	Configuration configuration() {
		return this.configuration;
	}

	long receivedAtMs() {
		return this.receivedAtMs;
	}

	String method() {
		return this.http.getRequestMethod().toString();
	}

	String path() {
		return this.http.getRequestPath();
	}

	void refuse(RefusalReason reason, String detail) {
		this.meters.refused(this.service.map(ServiceSpec::name).orElse(""), reason);
		this.sink.refuse(reason, detail);
	}

	Optional<ServiceSpec> service() {
		return this.service;
	}

	void setService(ServiceSpec found) {
		this.service = Optional.of(found);
	}

	Optional<RouteSpec> route() {
		return this.route;
	}

	void setRoute(RouteSpec found) {
		this.route = Optional.of(found);
	}

	Optional<PresentedKey> key() {
		return this.key;
	}

	Optional<WorkspaceSpec> workspace() {
		return this.workspace;
	}

	void setKey(PresentedKey presentedKey, WorkspaceSpec keyWorkspace) {
		this.key = Optional.of(presentedKey);
		this.workspace = Optional.of(keyWorkspace);
	}

	byte[] body() {
		return this.body;
	}

	void setBody(byte[] read) {
		this.body = read;
	}

	Optional<ChatRequest> chat() {
		return this.chat;
	}

	void setChat(ChatRequest parsed) {
		this.chat = Optional.of(parsed);
	}

}
