package io.anvilusher.logic.allowance;

import java.util.List;

/**
 * A gateway's report to its allocator; the payload of an ALLOWANCE_REPORT message.
 *
 * @param run identifies the run of the gateway's process
 * @param sequence number of the report; increases with each report of a run
 * @param echoRun run of the allocator whose grant is echoed; 0 if none
 * @param echoNumber number of the newest grant received from this allocator; 0 if none. A
 * report without echo asks for the size of the allocator's group and joins nothing.
 * @param freeInMs time in ms for which a former allocator may still count this gateway's
 * share; 0 if none does
 * @param uses the workspaces with use, demand or a ceiling from a former allocator; all
 * other workspaces have neither
 */
public record AllowanceReport(long run, long sequence, long echoRun, long echoNumber, long freeInMs,
		List<ReportedUse> uses) {

	public AllowanceReport {
		uses = List.copyOf(uses);
	}

}
