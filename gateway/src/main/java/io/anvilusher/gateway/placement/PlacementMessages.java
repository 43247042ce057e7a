package io.anvilusher.gateway.placement;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;

import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.logic.placement.coordinated.PlacementReport;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Encodes the messages between gateways and coordinators as JSON arrays, which are
 * shorter than objects. Malformed messages are decoded to empty.
 */
final class PlacementMessages {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int ASSIGNED = 1;

	private static final int QUEUED = 2;

	private static final int REFUSED = 3;

	private static final int NO_ENGINE = 4;

	/** The sender does not act as coordinator, for example because it shuts down. */
	private static final int UNAVAILABLE = 5;

	private static final int REQUEST_FIELDS = 11;

	private static final int REPLY_FIELDS = 2;

	private static final int END_FIELDS = 8;

	private PlacementMessages() {
	}

	static byte[] encode(Ask ask) {
		ArrayNode root = MAPPER.createArrayNode()
			.add(ask.number())
			.add(ask.group().service())
			.add(ask.group().index())
			.add(ask.prompt().promptTokens())
			.add(ask.prompt().maxOutputTokens())
			.add(ask.targetLeftMs())
			.add(ask.deadlineLeftMs())
			.add(ask.priority())
			.add(ask.splitExtraMs());
		ArrayNode parts = root.addArray();
		ask.prompt().parts().forEach((part) -> parts.add(part.id()).add(part.tokens()));
		ArrayNode excluded = root.addArray();
		ask.excludedEngines().forEach(excluded::add);
		return write(root);
	}

	static Optional<Ask> decodeAsk(byte[] payload) {
		return read(payload, REQUEST_FIELDS).map((root) -> {
			JsonNode parts = root.path(9);
			List<PromptPart> promptParts = IntStream.range(0, parts.size() / 2)
				.mapToObj((index) -> new PromptPart(parts.path(2 * index).asText(),
						Math.max(0, parts.path(2 * index + 1).asInt())))
				.toList();
			Set<String> excluded = new HashSet<>();
			root.path(10).forEach((id) -> excluded.add(id.asText()));
			return new Ask(root.path(0).asLong(), new PlacementGroup(root.path(1).asText(), root.path(2).asInt()),
					new PromptShape(Math.max(0, root.path(3).asInt()), Math.max(0, root.path(4).asInt()), promptParts),
					root.path(5).asLong(), root.path(6).asLong(), root.path(7).asInt(),
					Math.max(0, root.path(8).asLong()), excluded);
		});
	}

	static byte[] encode(long number, Optional<PlacementDecision> decision) {
		ArrayNode root = MAPPER.createArrayNode().add(number);
		if (decision.isEmpty()) {
			root.add(UNAVAILABLE);
		}
		else if (decision.get() instanceof PlacementDecision.Assigned assigned) {
			root.add(ASSIGNED)
				.add(assigned.engineId())
				.add(assigned.decodeEngineId().orElse(""))
				.add(assigned.uncachedTokens())
				.add(assigned.late())
				.add(assigned.expectedMs());
		}
		else if (decision.get() instanceof PlacementDecision.Refused refused) {
			root.add(REFUSED).add(refused.retryAfterMs());
		}
		else {
			root.add((decision.get() instanceof PlacementDecision.Queued) ? QUEUED : NO_ENGINE);
		}
		return write(root);
	}

	static Optional<Reply> decodeReply(byte[] payload) {
		return read(payload, REPLY_FIELDS).map((root) -> new Reply(root.path(0).asLong(), readDecision(root)));
	}

	private static Optional<PlacementDecision> readDecision(JsonNode root) {
		return switch (root.path(1).asInt()) {
			case ASSIGNED -> Optional.of(new PlacementDecision.Assigned(root.path(2).asText(),
					Optional.of(root.path(3).asText()).filter((id) -> !id.isEmpty()), Math.max(0, root.path(4).asInt()),
					root.path(5).asBoolean(), Math.max(0, root.path(6).asLong())));
			case QUEUED -> Optional.of(new PlacementDecision.Queued());
			case REFUSED -> Optional.of(new PlacementDecision.Refused(Math.max(0, root.path(2).asLong())));
			case NO_ENGINE -> Optional.of(new PlacementDecision.NoEngine());
			default -> Optional.empty();
		};
	}

	static byte[] encode(End end) {
		PlacementReport report = end.report();
		ArrayNode root = MAPPER.createArrayNode()
			.add(end.number())
			.add(end.group().service())
			.add(end.group().index())
			.add(report.event().ordinal())
			.add(report.engineId())
			.add(report.longestPauseMs().orElse(-1))
			.add(report.pauseTargetMs());
		ArrayNode loads = root.addArray();
		report.loads()
			.forEach((load) -> loads.addArray()
				.add(load.engineId())
				.add(load.running())
				.add(load.waiting())
				.add(load.relativeTimePercent().orElse(-1)));
		return write(root);
	}

	static Optional<End> decodeEnd(byte[] payload) {
		return read(payload, END_FIELDS).filter(
				(root) -> root.path(3).asInt(-1) >= 0 && root.path(3).asInt() < PlacementReport.Event.values().length)
			.map((root) -> {
				long pauseMs = root.path(5).asLong();
				List<PlacementReport.EngineLoad> loads = StreamSupport.stream(root.path(7).spliterator(), false)
					.map((load) -> new PlacementReport.EngineLoad(load.path(0).asText(), load.path(1).asInt(),
							load.path(2).asInt(), optional(load.path(3).asInt(-1))))
					.toList();
				return new End(root.path(0).asLong(), new PlacementGroup(root.path(1).asText(), root.path(2).asInt()),
						new PlacementReport(PlacementReport.Event.values()[root.path(3).asInt()], root.path(4).asText(),
								(pauseMs >= 0) ? OptionalLong.of(pauseMs) : OptionalLong.empty(), root.path(6).asLong(),
								loads));
			});
	}

	private static OptionalInt optional(int value) {
		return (value >= 0) ? OptionalInt.of(value) : OptionalInt.empty();
	}

	private static byte[] write(ArrayNode root) {
		try {
			return MAPPER.writeValueAsBytes(root);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Optional<JsonNode> read(byte[] payload, int fields) {
		try {
			JsonNode root = MAPPER.readTree(payload);
			return (root.isArray() && root.size() >= fields) ? Optional.of(root) : Optional.empty();
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Asks a coordinator for an engine.
	 *
	 * @param number number of the request at the gateway
	 * @param group placement group
	 * @param prompt the prompt
	 * @param targetLeftMs time left until the target of the first event, in ms
	 * @param deadlineLeftMs time left until the client stops waiting, in ms
	 * @param priority priority class; 0 is the most urgent
	 * @param splitExtraMs time that the gateway needs in addition for a second send, in
	 * ms
	 * @param excludedEngines ids of engines that earlier attempts were sent to
	 */
	record Ask(long number, PlacementGroup group, PromptShape prompt, long targetLeftMs, long deadlineLeftMs,
			int priority, long splitExtraMs, Set<String> excludedEngines) {

	}

	/**
	 * Answer of a coordinator.
	 *
	 * @param number number of the request at the gateway
	 * @param decision the decision; empty if the sender does not coordinate
	 */
	record Reply(long number, Optional<PlacementDecision> decision) {

	}

	/**
	 * Reports what became of a request.
	 *
	 * @param number number of the request at the gateway
	 * @param group placement group
	 * @param report the report
	 */
	record End(long number, PlacementGroup group, PlacementReport report) {

	}

}
