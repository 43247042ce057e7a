package io.anvilusher.gateway.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.peer.MessageType;
import io.anvilusher.gateway.peer.PeerChannel;
import io.anvilusher.gateway.peer.PeerDatagram;
import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

/**
 * Asks coordinators where to send requests. Used on the traffic thread.
 */
public final class PlacementClient {

	/**
	 * Time to wait for the first reply: a few round trips between data centres and the
	 * usual lag of a busy gateway.
	 */
	static final long REPLY_TIMEOUT_MS = 50;

	/** Interval of the repeats for a queued request. */
	static final long REPEAT_INTERVAL_MS = 100;

	private final PeerChannel peers;

	private final Timers timers;

	private final Meters meters;

	private final CoordinatorSelector selector = new CoordinatorSelector();

	private final GatewayDelay delay = new GatewayDelay();

	private final Map<Long, PlacementTicket> tickets = new HashMap<>();

	private long lastNumber;

	/**
	 * Creates the client.
	 * @param peers messages to other gateways
	 * @param timers clock and timers of the traffic thread
	 * @param meters the metrics of this process
	 * @param firstNumber number from which requests are counted; differs after a restart,
	 * so that a coordinator does not take requests for repeats of earlier ones
	 */
	public PlacementClient(PeerChannel peers, Timers timers, Meters meters, long firstNumber) {
		this.peers = peers;
		this.timers = timers;
		this.meters = meters;
		this.lastNumber = firstNumber;
		peers.onMessage(MessageType.PLACEMENT_REPLY, this::onReply);
	}

	/**
	 * Asks for an engine.
	 * @param engines number of engines of the service
	 * @param request what to ask for
	 * @param listener is told the decision, also within this call
	 * @return the ticket of the request
	 */
	public PlacementTicket ask(int engines, Asked request, PlacementTicket.Listener listener) {
		List<PromptPart> shared = request.prompt().sharedParts();
		String key = shared.isEmpty() ? "" : shared.get(shared.size() - 1).id();
		PlacementGroup group = PlacementGroup.select(PlacementGroup.of(request.service(), engines), key);
		PlacementTicket ticket = new PlacementTicket(this,
				new PlacementMessages.Ask(++this.lastNumber, group, request.prompt(),
						request.targetLeftMs() - this.delay.singleMs(), request.deadlineLeftMs(), request.priority(),
						this.delay.splitExtraMs(), request.excludedEngines()),
				this.timers.nowMs(), listener);
		this.tickets.put(ticket.ask().number(), ticket);
		listener.onAsked(ticket);
		send(ticket);
		return ticket;
	}

	private void send(PlacementTicket ticket) {
		long nowMs = this.timers.nowMs();
		Optional<String> coordinator = ticket.coordinator().isEmpty()
				? this.selector.select(ticket.ask().group(), this.peers.peers(), nowMs)
				: Optional.of(ticket.coordinator());
		if (coordinator.isEmpty()) {
			decide(ticket, Optional.empty(), "no_coordinator");
			return;
		}
		long elapsedMs = nowMs - ticket.askedAtMs();
		PlacementMessages.Ask ask = ticket.ask();
		byte[] payload = PlacementMessages
			.encode(new PlacementMessages.Ask(ask.number(), ask.group(), ask.prompt(), ask.targetLeftMs() - elapsedMs,
					ask.deadlineLeftMs() - elapsedMs, ask.priority(), ask.splitExtraMs(), ask.excludedEngines()));
		// Clients choose the ids of prompt parts. A request that is never sent must not
		// count as a missing reply.
		if (payload.length > PeerDatagram.maxPayloadBytes(this.peers.self())) {
			decide(ticket, Optional.empty(), "too_large");
			return;
		}
		ticket.onAsked(coordinator.get());
		ticket.replaceTimer(this.timers.schedule(REPLY_TIMEOUT_MS, () -> onNoReply(ticket)));
		this.peers.send(coordinator.get(), MessageType.PLACEMENT_REQUEST, payload);
	}

	private void onNoReply(PlacementTicket ticket) {
		if (!ticket.isWaiting()) {
			return;
		}
		if (this.selector.onMissingReply(ticket.coordinator(), this.timers.nowMs())) {
			this.meters.counter("anvilusher.placement.coordinator.suspended").increment();
		}
		report(ticket.coordinator(), ticket.cancellation());
		decide(ticket, Optional.empty(), "no_reply");
	}

	private void onReply(String peerName, byte[] payload) {
		PlacementMessages.decodeReply(payload)
			.ifPresentOrElse((reply) -> onReply(peerName, reply),
					() -> this.meters.counter("anvilusher.placement.malformed", "type", "reply").increment());
	}

	private void onReply(String peerName, PlacementMessages.Reply reply) {
		this.selector.onReply(peerName);
		PlacementTicket ticket = this.tickets.get(reply.number());
		if (ticket == null || !ticket.isWaiting() || !ticket.coordinator().equals(peerName)) {
			return;
		}
		if (reply.decision().isEmpty()) {
			this.selector.onUnavailable(peerName, this.timers.nowMs());
			decide(ticket, Optional.empty(), "unavailable");
		}
		else if (reply.decision().get() instanceof PlacementDecision.Queued) {
			ticket.replaceTimer(this.timers.schedule(REPEAT_INTERVAL_MS, () -> {
				if (ticket.isWaiting()) {
					send(ticket);
				}
			}));
		}
		else {
			decide(ticket, reply.decision(), "decided");
		}
	}

	private void decide(PlacementTicket ticket, Optional<PlacementDecision> decision, String outcome) {
		this.meters.counter("anvilusher.placement.asks", "outcome", outcome).increment();
		ticket.decide(decision);
	}

	void onFirstEvent(PlacementDecision.Assigned assigned, long elapsedMs) {
		this.delay.onFirstEvent(assigned.decodeEngineId().isPresent(), elapsedMs - assigned.expectedMs());
	}

	long nowMs() {
		return this.timers.nowMs();
	}

	void forget(PlacementTicket ticket) {
		this.tickets.remove(ticket.ask().number());
	}

	void report(String coordinator, PlacementMessages.End end) {
		this.peers.send(coordinator, MessageType.PLACEMENT_END, PlacementMessages.encode(end));
	}

	/**
	 * What to ask for.
	 *
	 * @param service name of the service
	 * @param prompt the prompt
	 * @param targetLeftMs time left until the target of the first event, in ms
	 * @param deadlineLeftMs time left until the client stops waiting, in ms
	 * @param priority priority class; 0 is the most urgent
	 * @param excludedEngines ids of engines that earlier attempts were sent to
	 */
	public record Asked(String service, PromptShape prompt, long targetLeftMs, long deadlineLeftMs, int priority,
			Set<String> excludedEngines) {

	}

}
