package io.anvilusher.gateway.control;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A record of the gateways' usage log.
 *
 * @param process identifier of the process run that counted; empty for a seal, which
 * fixes the totals to report
 * @param window number of the usage window
 * @param counts number of requests run, by workspace
 */
record UsageRecord(String process, long window, Map<String, Long> counts) {

	private static final Logger LOGGER = LoggerFactory.getLogger(UsageRecord.class);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	UsageRecord {
		counts = Map.copyOf(counts);
	}

	boolean isSeal() {
		return this.process.isEmpty();
	}

	byte[] encode() {
		ObjectNode root = MAPPER.createObjectNode().put("process", this.process).put("window", this.window);
		ObjectNode byWorkspace = root.putObject("counts");
		this.counts.forEach(byWorkspace::put);
		try {
			return MAPPER.writeValueAsBytes(root);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Usage record could not be written as JSON", ex);
		}
	}

	private static boolean isNumber(JsonNode node) {
		return node.isIntegralNumber() && node.canConvertToLong();
	}

	private static boolean areCounts(JsonNode counts) {
		return counts.properties()
			.stream()
			.allMatch((entry) -> isNumber(entry.getValue()) && entry.getValue().longValue() >= 0);
	}

	static Optional<UsageRecord> decode(byte[] content) {
		try {
			JsonNode root = MAPPER.readTree(content);
			if (!root.path("process").isTextual() || !isNumber(root.path("window")) || !root.path("counts").isObject()
					|| !areCounts(root.path("counts"))) {
				LOGGER.warn("Record of the usage log is not usable and is skipped: {} bytes", content.length);
				return Optional.empty();
			}
			Map<String, Long> counts = new HashMap<>();
			root.path("counts")
				.fields()
				.forEachRemaining((entry) -> counts.put(entry.getKey(), entry.getValue().asLong()));
			return Optional.of(new UsageRecord(root.path("process").asText(), root.path("window").asLong(), counts));
		}
		catch (IOException ex) {
			LOGGER.warn("Record of the usage log is not valid JSON and is skipped: {}", ex.getMessage());
			return Optional.empty();
		}
	}

}
