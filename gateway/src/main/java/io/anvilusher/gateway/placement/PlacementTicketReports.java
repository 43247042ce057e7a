package io.anvilusher.gateway.placement;

import java.util.List;
import java.util.OptionalLong;

import io.anvilusher.logic.placement.coordinated.PlacementReport;

/**
 * Reports about tickets that are given up before a decision.
 */
final class PlacementTicketReports {

	private PlacementTicketReports() {
	}

	static PlacementMessages.End cancelled(PlacementTicket ticket) {
		return new PlacementMessages.End(ticket.ask().number(), ticket.ask().group(),
				new PlacementReport(PlacementReport.Event.ENDED, "", OptionalLong.empty(), 0, List.of()));
	}

}
