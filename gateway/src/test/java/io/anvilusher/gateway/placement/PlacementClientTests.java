package io.anvilusher.gateway.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.gateway.peer.Peer;
import io.anvilusher.gateway.peer.PeerChannel;
import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.model.fleet.EngineRole;
import io.anvilusher.model.fleet.RegisteredServer;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link PlacementClient} together with {@link PlacementService}: gateway "a" asks,
 * and "b" is the only other gateway.
 */
public class PlacementClientTests {

	private static final long ROUND_TRIP_MS = 5;

	private static final int ENGINES = 1;

	private FakeTimers timers;

	private FakeNetwork network;

	private Meters meters;

	private PeerChannel coordinator;

	private PlacementService service;

	private PlacementClient client;

	private long lastPrompt;

	@BeforeMethod
	public void createGateways() {
		this.timers = new FakeTimers();
		this.network = new FakeNetwork(this.timers);
		this.meters = new Meters();
		this.coordinator = this.network.join("b");
		this.service = createService(this.coordinator);
		this.client = new PlacementClient(onlyPeer(this.network.join("a"), "b"), this.timers, this.meters, 100);
	}

	/** Guards against a request that is assigned twice or never. */
	@Test
	public void requestIsAssigned() {
		Decisions decisions = ask();
		assertEquals(decisions.log(), List.of());
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(decisions.log(), List.of("assigned"));
		this.timers.advance(5_000);
		assertEquals(decisions.log(), List.of("assigned"));
	}

	/** Guards against a request that waits for a reply that does not come. */
	@Test
	public void lostReplyLeavesThePlacementToTheGateway() {
		this.network.setReachable("b", false);
		Decisions decisions = ask();
		this.timers.advance(PlacementClient.REPLY_TIMEOUT_MS + 1);
		assertEquals(decisions.log(), List.of("not coordinated"));
	}

	/**
	 * Guards against a request that its gateway placed itself and that still occupies the
	 * coordinator's record of the engine, so that others wait.
	 */
	@Test
	public void requestWhoseReplyIsLostIsCancelledAtTheCoordinator() {
		for (int count = 0; count < 20; count++) {
			ask();
			this.timers.advance(1);
			this.network.setReachable("a", false);
			this.timers.advance(1);
			this.network.setReachable("a", true);
			this.timers.advance(PlacementClient.REPLY_TIMEOUT_MS + CoordinatorSelector.SUSPENSION_MS);
		}
		Decisions decisions = ask();
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(decisions.log(), List.of("assigned"));
	}

	/** Guards against a late reply that makes a gateway send a request twice. */
	@Test
	public void replyAfterTheTimeoutHasNoEffect() {
		this.network.setReachable("b", false);
		Decisions decisions = ask();
		this.timers.advance(PlacementClient.REPLY_TIMEOUT_MS + 1);
		this.network.setReachable("b", true);
		this.coordinator.send("a", MessageType.PLACEMENT_REPLY,
				PlacementMessages.encode(decisions.ticket().ask().number(),
						Optional.of(new PlacementDecision.Assigned("e0", Optional.empty(), 1, false, 20))));
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(decisions.log(), List.of("not coordinated"));
	}

	/** Guards against a queued request that is lost with its coordinator. */
	@Test
	public void queuedRequestIsPlacedByItsGatewayWhenTheCoordinatorIsKilled() {
		Decisions queued = askUntilQueued();
		this.network.setReachable("b", false);
		this.timers.advance(PlacementClient.REPEAT_INTERVAL_MS + PlacementClient.REPLY_TIMEOUT_MS + 1);
		assertEquals(queued.log(), List.of("not coordinated"));
	}

	/** Guards against a queued request that waits for a gateway that shuts down. */
	@Test
	public void queuedRequestIsPlacedByItsGatewayWhenTheCoordinatorDrains() {
		askUntilQueued();
		List<Decisions> queued = IntStream.range(0, 5).mapToObj((index) -> ask()).toList();
		this.timers.advance(ROUND_TRIP_MS);
		this.service.drain();
		this.timers.advance(PlacementClient.REPEAT_INTERVAL_MS + ROUND_TRIP_MS);
		queued.forEach((decisions) -> assertEquals(decisions.log().size(), 1));
		assertEquals(queued.get(queued.size() - 1).log(), List.of("not coordinated"));
		long sent = this.network.sent(MessageType.PLACEMENT_REQUEST);
		assertEquals(ask().log(), List.of("not coordinated"));
		assertEquals(this.network.sent(MessageType.PLACEMENT_REQUEST), sent);
	}

	/** Guards against a queue that is not served after the prompts before have ended. */
	@Test
	public void queuedRequestIsAssignedWhenOthersEnd() {
		List<Decisions> all = new ArrayList<>();
		while (all.isEmpty() || !all.get(all.size() - 1).log().isEmpty()) {
			all.add(ask());
			this.timers.advance(2);
		}
		all.stream()
			.filter((decisions) -> !decisions.log().isEmpty())
			.forEach((decisions) -> decisions.ticket().onEnded(OptionalLong.empty(), 0));
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(all.get(all.size() - 1).log(), List.of("assigned"));
	}

	/** Guards against waiting for a gateway that does not answer, for each request. */
	@Test
	public void silentCoordinatorIsSuspendedAndAskedAgain() {
		this.network.setReachable("b", false);
		IntStream.range(0, CoordinatorSelector.MAX_MISSES).forEach((index) -> {
			ask();
			this.timers.advance(PlacementClient.REPLY_TIMEOUT_MS + 1);
		});
		assertEquals(ask().log(), List.of("not coordinated"));
		this.network.setReachable("b", true);
		this.timers.advance(CoordinatorSelector.SUSPENSION_MS);
		Decisions decisions = ask();
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(decisions.log(), List.of("assigned"));
	}

	/**
	 * Guards against prompts with very long part ids, which no datagram can carry: they
	 * must not look like a coordinator that does not answer.
	 */
	@Test
	public void promptTooLargeForADatagramDoesNotSuspendTheCoordinator() {
		PromptShape prompt = new PromptShape(9_000, 2,
				List.of(new PromptPart("d".repeat(2_000), 6_000), new PromptPart("q", 3_000)));
		IntStream.range(0, 2 * CoordinatorSelector.MAX_MISSES)
			.forEach((index) -> assertEquals(ask(prompt).log(), List.of("not coordinated")));
		assertEquals(this.network.sent(MessageType.PLACEMENT_REQUEST), 0);
		Decisions decisions = ask();
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(decisions.log(), List.of("assigned"));
	}

	/** Guards against messages of a gateway to itself, which arrive within the call. */
	@Test
	public void gatewayCoordinatesItsOwnRequests() {
		PeerChannel own = onlyPeer(this.network.join("c"), "c");
		createService(own);
		this.client = new PlacementClient(own, this.timers, this.meters, 100);
		Decisions decisions = ask();
		assertEquals(decisions.log(), List.of("assigned"));
		decisions.ticket().onPrefilled();
		decisions.ticket().onEnded(OptionalLong.empty(), 0);
		decisions.ticket().onEnded(OptionalLong.empty(), 0);
		assertEquals(this.network.sent(MessageType.PLACEMENT_END), 2);
	}

	@DataProvider
	public Object[][] malformed() {
		return Stream.of("", "null", "{}", "[", "[]", "[1]", "\u0000\u00ff", "[[[[[[[[", "[1,1,1,1,1,1,1,1,1,1,1]",
				"[1,\"llm\",0,1,1,1,1,0,0,[1],{\"a\":1}]", "[1,\"llm\",-5,-1,-1,-1,-1,-1,-1,[\"a\",-1,\"b\",-1],[]]",
				"[1,\"llm\",0,99999999999,1,9223372036854775807,9223372036854775807,0,9223372036854775807,[\"a\",2147483647,\"b\",1],[]]",
				"[1,\"llm\",0,99,\"e0\",1,1,[]]", "[1,\"llm\",0,0,\"e0\",-1,1,[[\"e0\"],1,[1,2,3,4]]]", "[1,1,\"e9\"]")
			.map((text) -> new Object[] { text })
			.toArray(Object[][]::new);
	}

	/** Guards against a message that stops a coordinator or a gateway. */
	@Test(dataProvider = "malformed")
	public void malformedMessageHasNoEffectOnOtherRequests(String text) {
		PeerChannel sender = this.network.join("d");
		byte[] payload = text.getBytes(StandardCharsets.ISO_8859_1);
		sender.send("b", MessageType.PLACEMENT_REQUEST, payload);
		sender.send("b", MessageType.PLACEMENT_END, payload);
		sender.send("a", MessageType.PLACEMENT_REPLY, payload);
		this.timers.advance(ROUND_TRIP_MS);
		Decisions decisions = ask();
		this.timers.advance(ROUND_TRIP_MS);
		assertEquals(decisions.log(), List.of("assigned"));
	}

	/** Guards against malformed messages that no metric shows. */
	@Test
	public void malformedMessagesAreCounted() {
		PeerChannel sender = this.network.join("d");
		sender.send("b", MessageType.PLACEMENT_REQUEST, new byte[0]);
		sender.send("b", MessageType.PLACEMENT_END, new byte[0]);
		sender.send("a", MessageType.PLACEMENT_REPLY, new byte[0]);
		this.timers.advance(ROUND_TRIP_MS);
		Stream.of("request", "end", "reply")
			.forEach((type) -> assertEquals(this.meters.counter("anvilusher.placement.malformed", "type", type).count(),
					1.0));
	}

	/** Guards against tickets that stay after their requests have ended. */
	@Test
	public void ticketThatEndedBeforeItsDecisionIsNotToldOne() {
		Decisions queued = askUntilQueued();
		queued.ticket().onEnded(OptionalLong.empty(), 0);
		this.timers.advance(5_000);
		assertEquals(queued.log(), List.of());
		assertFalse(queued.ticket().isWaiting());
	}

	private PlacementService createService(PeerChannel channel) {
		List<RegisteredServer> engines = IntStream.range(0, ENGINES)
			.mapToObj((index) -> new RegisteredServer("e" + index, 1, "llm", "10.0.0.1:1", "a", 8, false,
					Optional.of(EngineRole.DECODE)))
			.toList();
		return new PlacementService(channel, this.timers, this.meters, new Random(1), (service) -> engines,
				(service) -> 300_000);
	}

	private Decisions askUntilQueued() {
		for (int count = 0; count < 50; count++) {
			Decisions decisions = ask();
			this.timers.advance(2);
			if (decisions.log().isEmpty()) {
				return decisions;
			}
			assertEquals(decisions.log(), List.of("assigned"));
		}
		throw new AssertionError("no request was queued");
	}

	private Decisions ask() {
		this.lastPrompt++;
		return ask(new PromptShape(9_000, 2,
				List.of(new PromptPart("d" + this.lastPrompt, 6_000), new PromptPart("q" + this.lastPrompt, 3_000))));
	}

	private Decisions ask(PromptShape prompt) {
		Decisions decisions = new Decisions();
		this.client.ask(ENGINES, new PlacementClient.Asked("llm", prompt, 2_000, 5_000, 0, Set.of()), decisions);
		assertTrue(decisions.ticket() != null);
		return decisions;
	}

	private static PeerChannel onlyPeer(PeerChannel channel, String coordinator) {
		return new SinglePeerChannel(channel, coordinator);
	}

	private static final class Decisions implements PlacementTicket.Listener {

		private final List<String> log = new ArrayList<>();

		private PlacementTicket ticket;

		List<String> log() {
			return List.copyOf(this.log);
		}

		PlacementTicket ticket() {
			return this.ticket;
		}

		@Override
		public void onAsked(PlacementTicket asked) {
			this.ticket = asked;
		}

		@Override
		public void onAssigned(PlacementDecision.Assigned assigned) {
			this.log.add("assigned");
		}

		@Override
		public void onRefused(long retryAfterMs) {
			this.log.add("refused");
		}

		@Override
		public void onNotCoordinated() {
			this.log.add("not coordinated");
		}

	}

	/**
	 * A channel whose list of gateways has one entry, which is the coordinator.
	 */
	private record SinglePeerChannel(PeerChannel channel, String coordinator) implements PeerChannel {

		@Override
		public void activate() {
			this.channel.activate();
		}

		@Override
		public String self() {
			return this.channel.self();
		}

		@Override
		public List<Peer> peers() {
			return this.channel.peers().stream().filter((peer) -> peer.name().equals(this.coordinator)).toList();
		}

		@Override
		public void send(String peerName, MessageType type, byte[] payload) {
			this.channel.send(peerName, type, payload);
		}

		@Override
		public void onMessage(MessageType type, Receiver receiver) {
			this.channel.onMessage(type, receiver);
		}

	}

}
