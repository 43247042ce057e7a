package io.anvilusher.logic.placement.coordinated;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a gateway reports about a request that a coordinator placed.
 *
 * @param event what happened
 * @param engineId engine at which it happened; empty text if at none
 * @param longestPauseMs longest pause between two events of the response, in ms; empty if
 * it is not known
 * @param pauseTargetMs longest pause that is on time, in ms
 * @param loads loads that engines reported since the last report
 */
public record PlacementReport(Event event, String engineId, OptionalLong longestPauseMs, long pauseTargetMs,
		List<EngineLoad> loads) {

	public PlacementReport {
		loads = List.copyOf(loads);
	}

	/** What happened to a request. */
	public enum Event {

		/** The prompt was prefilled. */
		PREFILLED,

		/** The engine did not accept the request. */
		REJECTED,

		/** The connection to the engine failed, or its response was not valid. */
		FAILED,

		/** The request has ended, or no engine is needed any more. */
		ENDED

	}

	/**
	 * A load that an engine reported.
	 *
	 * @param engineId id of the engine
	 * @param running number of running requests
	 * @param waiting number of queued requests
	 * @param relativeTimePercent time for work on its machine in percent of the usual;
	 * empty if the engine does not report it
	 */
	public record EngineLoad(String engineId, int running, int waiting, OptionalInt relativeTimePercent) {

	}

}
