package io.anvilusher.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.anvilusher.gateway.wire.ResponseHead;
import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.logic.placement.coordinated.PlacementReport;
import io.anvilusher.logic.placement.coordinated.PlacementReport.Event;

/**
 * One request for an engine and, after that, the reports to its coordinator. Used on the
 * traffic thread.
 */
public final class PlacementTicket {

	/** Bound on the loads in one report; more would not fit into a message. */
	private static final int MAX_LOADS = 4;

	private final PlacementClient client;

	private final PlacementMessages.Ask ask;

	private final Listener listener;

	private final long askedAtMs;

	private final List<PlacementReport.EngineLoad> loads = new ArrayList<>();

	private String coordinator = "";

	private Runnable cancelTimer = () -> {
	};

	private boolean decided;

	private boolean ended;

	private boolean prefilled;

	private Optional<PlacementDecision.Assigned> assigned = Optional.empty();

	private long assignedAtMs;

	PlacementTicket(PlacementClient client, PlacementMessages.Ask ask, long askedAtMs, Listener listener) {
		this.client = client;
		this.ask = ask;
		this.askedAtMs = askedAtMs;
		this.listener = listener;
	}

	PlacementMessages.Ask ask() {
		return this.ask;
	}

	long askedAtMs() {
		return this.askedAtMs;
	}

	String coordinator() {
		return this.coordinator;
	}

	boolean isWaiting() {
		return !this.decided && !this.ended;
	}

	/**
	 * Returns the report that ends the request at a coordinator that did not answer.
	 * @return the report
	 */
	PlacementMessages.End cancellation() {
		return new PlacementMessages.End(this.ask.number(), this.ask.group(),
				new PlacementReport(Event.ENDED, "", OptionalLong.empty(), 0, List.of()));
	}

	void onAsked(String peer) {
		this.coordinator = peer;
	}

	void replaceTimer(Runnable cancel) {
		this.cancelTimer.run();
		this.cancelTimer = cancel;
	}

	void decide(Optional<PlacementDecision> decision) {
		this.decided = true;
		this.cancelTimer.run();
		if (decision.isPresent() && decision.get() instanceof PlacementDecision.Assigned placed) {
			this.assigned = Optional.of(placed);
			this.assignedAtMs = this.client.nowMs();
			this.listener.onAssigned(placed);
			return;
		}
		this.ended = true;
		this.client.forget(this);
		if (decision.isPresent() && decision.get() instanceof PlacementDecision.Refused refused) {
			this.listener.onRefused(refused.retryAfterMs());
		}
		else {
			this.listener.onNotCoordinated();
		}
	}

	/**
	 * Records a load that an engine reported; it is sent with the next report.
	 * @param engineId id of the engine
	 * @param load the load
	 */
	public void onLoad(String engineId, ResponseHead.LoadReport load) {
		if (this.loads.size() < MAX_LOADS) {
			this.loads.add(new PlacementReport.EngineLoad(engineId, load.running(), load.waiting(),
					load.relativeTimePercent()));
		}
	}

	/**
	 * Reports that the prompt was prefilled. Only the first call has an effect.
	 */
	public void onPrefilled() {
		if (!this.ended && !this.prefilled) {
			this.prefilled = true;
			report(Event.PREFILLED, "", OptionalLong.empty(), 0);
		}
	}

	/**
	 * Records that the first event has arrived.
	 */
	public void onFirstEvent() {
		this.assigned.ifPresent((placed) -> this.client.onFirstEvent(placed, this.client.nowMs() - this.assignedAtMs));
	}

	/**
	 * Reports that an engine did not run the request and ends the ticket.
	 * @param engineId id of the engine
	 * @param rejected whether the engine rejected it; false if the connection or response
	 * failed
	 */
	public void onFailed(String engineId, boolean rejected) {
		end(rejected ? Event.REJECTED : Event.FAILED, engineId, OptionalLong.empty(), 0);
	}

	/**
	 * Ends the ticket: the request has ended or needs no engine any more. Only the first
	 * call has an effect.
	 * @param longestPauseMs longest pause between two events, in ms; empty if there were
	 * none
	 * @param pauseTargetMs longest pause that is on time, in ms
	 */
	public void onEnded(OptionalLong longestPauseMs, long pauseTargetMs) {
		end(Event.ENDED, "", longestPauseMs, pauseTargetMs);
	}

	private void end(Event event, String engineId, OptionalLong longestPauseMs, long pauseTargetMs) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.cancelTimer.run();
		this.client.forget(this);
		report(event, engineId, longestPauseMs, pauseTargetMs);
	}

	private void report(Event event, String engineId, OptionalLong longestPauseMs, long pauseTargetMs) {
		if (!this.coordinator.isEmpty()) {
			this.client.report(this.coordinator, new PlacementMessages.End(this.ask.number(), this.ask.group(),
					new PlacementReport(event, engineId, longestPauseMs, pauseTargetMs, this.loads)));
			this.loads.clear();
		}
	}

	/**
	 * Is told the decision about a request.
	 */
	public interface Listener {

		/**
		 * Is called before any decision.
		 * @param asked the ticket of the request
		 */
		void onAsked(PlacementTicket asked);

		/**
		 * The request is to be sent now.
		 * @param assigned where to
		 */
		void onAssigned(PlacementDecision.Assigned assigned);

		/**
		 * The request cannot be served in time for its deadline.
		 * @param retryAfterMs time after which the client should try again, in ms
		 */
		void onRefused(long retryAfterMs);

		/**
		 * No coordinator decides; the gateway has to place the request itself.
		 */
		void onNotCoordinated();

	}

}
