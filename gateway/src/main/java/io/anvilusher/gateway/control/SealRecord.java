package io.anvilusher.gateway.control;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.logic.usage.SealEra;
import io.anvilusher.logic.usage.SealRegister;
import io.anvilusher.logic.usage.UsageSeal;

/**
 * Encodes and decodes the records of the table of seals: one for the era, and one for
 * each slot with a sealed window.
 */
final class SealRecord {

	private static final Logger LOGGER = LoggerFactory.getLogger(SealRecord.class);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String ERA_KEY = "era";

	private SealRecord() {
	}

	static KeyedRecord encode(SealEra era) {
		return write(ERA_KEY,
				MAPPER.createObjectNode().put("era", era.number()).put("first_window", era.firstWindow()));
	}

	static KeyedRecord encode(UsageSeal seal) {
		ObjectNode root = MAPPER.createObjectNode().put("era", seal.era()).put("window", seal.window());
		ObjectNode byWorkspace = root.putObject("counts");
		seal.counts().forEach(byWorkspace::put);
		return write(key(seal.window()), root);
	}

	private static String key(long window) {
		return Integer.toString(SealRegister.slot(window));
	}

	private static KeyedRecord write(String key, ObjectNode root) {
		try {
			return new KeyedRecord(key, Optional.of(MAPPER.writeValueAsBytes(root)));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Record of the table of seals could not be written as JSON", ex);
		}
	}

	/**
	 * Decodes the table.
	 * @param values value by key
	 * @return the register; the slots of records that are not usable are marked
	 */
	static SealRegister decode(Map<String, byte[]> values) {
		SealEra era = Optional.ofNullable(values.get(ERA_KEY))
			.flatMap((value) -> read(ERA_KEY, value))
			.flatMap(SealRecord::readEra)
			.orElse(SealEra.NOT_NAMED);
		List<UsageSeal> seals = values.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(ERA_KEY))
			.flatMap((entry) -> readSeal(entry.getKey(), entry.getValue()))
			.toList();
		return SealRegister.of(era, seals).withUnreadable(unreadableSlots(values, seals));
	}

	// A record that cannot be read may be a seal.
	private static Map<Integer, Long> unreadableSlots(Map<String, byte[]> values, List<UsageSeal> seals) {
		Set<Integer> readable = seals.stream()
			.map((seal) -> SealRegister.slot(seal.window()))
			.collect(Collectors.toSet());
		return IntStream.range(0, SealRegister.SLOTS)
			.filter((slot) -> values.containsKey(Integer.toString(slot)) && !readable.contains(slot))
			.boxed()
			.collect(Collectors.toMap((slot) -> slot,
					(slot) -> (long) Arrays.hashCode(values.get(Integer.toString(slot)))));
	}

	private static Optional<SealEra> readEra(JsonNode root) {
		return (isNumber(root.path("era")) && isNumber(root.path("first_window")))
				? Optional.of(new SealEra(root.path("era").longValue(), root.path("first_window").longValue()))
				: unusable(ERA_KEY);
	}

	private static Stream<UsageSeal> readSeal(String key, byte[] value) {
		return read(key, value).flatMap(SealRecord::readSeal)
			.filter((seal) -> key.equals(key(seal.window())))
			.or(() -> unusable(key))
			.stream();
	}

	private static Optional<UsageSeal> readSeal(JsonNode root) {
		if (!isNumber(root.path("era")) || !isNumber(root.path("window")) || !root.path("counts").isObject()
				|| !areCounts(root.path("counts"))) {
			return Optional.empty();
		}
		Map<String, Long> counts = new HashMap<>();
		root.path("counts").properties().forEach((entry) -> counts.put(entry.getKey(), entry.getValue().longValue()));
		return Optional.of(new UsageSeal(root.path("era").longValue(), root.path("window").longValue(), counts));
	}

	private static boolean areCounts(JsonNode counts) {
		Collection<Map.Entry<String, JsonNode>> entries = counts.properties();
		return entries.stream().allMatch((entry) -> isNumber(entry.getValue()) && entry.getValue().longValue() >= 0);
	}

	private static boolean isNumber(JsonNode node) {
		return node.isIntegralNumber() && node.canConvertToLong();
	}

	private static Optional<JsonNode> read(String key, byte[] value) {
		try {
			return Optional.of(MAPPER.readTree(value));
		}
		catch (IOException ex) {
			LOGGER.warn("Table of seals: the record of key {} is not valid JSON: {}", key, ex.getMessage());
			return Optional.empty();
		}
	}

	private static <T> Optional<T> unusable(String key) {
		LOGGER.warn("Table of seals: the record of key {} is not usable and is skipped", key);
		return Optional.empty();
	}

}
