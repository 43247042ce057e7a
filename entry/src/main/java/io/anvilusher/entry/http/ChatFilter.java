package io.anvilusher.entry.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.request.RefusalReason;

/**
 * Parses the body of a chat completion request, checks the fields that routing needs and
 * finds the service of its model.
 */
final class ChatFilter implements RequestFilter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Length of the prompt prefix by which a request is routed to a server that may hold
	 * the prefix in its KV cache.
	 */
	private static final int PREFIX_CHARS = 1024;

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		if (exchange.service().isPresent()) {
			chain.next(exchange);
			return;
		}
		Optional<JsonNode> body = parse(exchange);
		if (body.isEmpty()) {
			return;
		}
		Optional<String> validationError = validationError(body.get());
		if (validationError.isPresent()) {
			exchange.refuse(RefusalReason.MALFORMED_BODY, validationError.get());
			return;
		}
		String model = body.get().path("model").asText();
		Optional<ServiceSpec> service = exchange.configuration().serviceOfModel(model);
		if (service.isEmpty()) {
			exchange.refuse(RefusalReason.MODEL_UNKNOWN, "No service answers for model \"" + model + "\"");
			return;
		}
		exchange.setService(service.get());
		exchange.setChat(new ChatRequest(model, body.get().path("stream").asBoolean(), prefix(body.get())));
		chain.next(exchange);
	}

	private static Optional<JsonNode> parse(CallerExchange exchange) {
		try {
			return Optional.of(MAPPER.readTree(exchange.body()));
		}
		catch (JsonProcessingException ex) {
			exchange.refuse(RefusalReason.MALFORMED_BODY,
					"Not JSON at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr());
			return Optional.empty();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Could not read a request body that is held in memory", ex);
		}
	}

	private static Optional<String> validationError(JsonNode body) {
		if (!body.isObject()) {
			return Optional.of("The body is not an object");
		}
		if (!body.path("model").isTextual()) {
			return Optional.of("\"model\" must be a text");
		}
		if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
			return Optional.of("\"messages\" must be an array that is not empty");
		}
		if (body.has("stream") && !body.path("stream").isBoolean()) {
			return Optional.of("\"stream\" must be true or false");
		}
		return Optional.empty();
	}

	private static String prefix(JsonNode body) {
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : body.path("messages")) {
			prompt.append(message.path("role").asText()).append('\n').append(message.path("content").asText());
			if (prompt.length() >= PREFIX_CHARS) {
				return prompt.substring(0, PREFIX_CHARS);
			}
		}
		return prompt.toString();
	}

}
