package io.anvilusher.gateway.suspect;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.logic.suspect.CrashObservation;
import io.anvilusher.logic.suspect.CrashReport;

/**
 * A record of the table through which gateways share crashes and convictions.
 */
sealed interface SuspectRecord {

	/** First characters of the key of a gateway's report. */
	String GATEWAY_KEY = "gateway/";

	/** First characters of the key of a conviction. */
	String CONVICTION_KEY = "convicted/";

	/**
	 * Encodes the record.
	 * @return the record as JSON
	 */
	byte[] encode();

	/**
	 * Decodes a record.
	 * @param key its key
	 * @param value its value
	 * @return the record, or empty if it is not readable
	 */
	static Optional<SuspectRecord> decode(String key, byte[] value) {
		try {
			JsonNode root = Json.MAPPER.readTree(value);
			if (key.startsWith(CONVICTION_KEY) && root.path("untilMs").isIntegralNumber()) {
				return Optional.of(new Conviction(root.path("untilMs").asLong()));
			}
			if (key.startsWith(GATEWAY_KEY) && root.path("crashes").isArray()) {
				List<CrashObservation> crashes = new ArrayList<>();
				root.path("crashes").forEach((crash) -> crashes.add(Json.readCrash(crash)));
				return Optional.of(new Report(new CrashReport(crashes, Json.readTexts(root.path("answered")))));
			}
			return Optional.empty();
		}
		catch (IOException ex) {
			Json.LOGGER.warn("Record {} of the suspects is not valid JSON: {}", key, ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * What one gateway tells the others.
	 *
	 * @param content its report
	 */
	record Report(CrashReport content) implements SuspectRecord {

		@Override
		public byte[] encode() {
			ObjectNode root = Json.MAPPER.createObjectNode();
			ArrayNode crashes = root.putArray("crashes");
			this.content.crashes().forEach((crash) -> {
				ObjectNode node = crashes.addObject()
					.put("id", crash.crashId())
					.put("service", crash.service())
					.put("atMs", crash.observedAtMs());
				ObjectNode depths = node.putObject("depths");
				crash.depths().forEach(depths::put);
			});
			this.content.answered().forEach(root.putArray("answered")::add);
			return Json.write(root);
		}

	}

	/**
	 * A subject that must not be sent to servers; the key names it.
	 *
	 * @param untilMs end of the conviction, in ms since 1970
	 */
	record Conviction(long untilMs) implements SuspectRecord {

		@Override
		public byte[] encode() {
			return Json.write(Json.MAPPER.createObjectNode().put("untilMs", this.untilMs));
		}

	}

	/**
	 * Reads and writes JSON.
	 */
	final class Json {

		private static final Logger LOGGER = LoggerFactory.getLogger(SuspectRecord.class);

		private static final ObjectMapper MAPPER = new ObjectMapper();

		private Json() {
		}

		private static CrashObservation readCrash(JsonNode node) {
			Map<String, Integer> depths = new HashMap<>();
			node.path("depths")
				.fields()
				.forEachRemaining((entry) -> depths.put(entry.getKey(), entry.getValue().asInt()));
			return new CrashObservation(node.path("id").asText(), node.path("service").asText(),
					node.path("atMs").asLong(), depths);
		}

		private static Set<String> readTexts(JsonNode nodes) {
			Set<String> texts = new HashSet<>();
			nodes.forEach((node) -> texts.add(node.asText()));
			return texts;
		}

		private static byte[] write(ObjectNode root) {
			try {
				return MAPPER.writeValueAsBytes(root);
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("Record of the suspects could not be written as JSON", ex);
			}
		}

	}

}
