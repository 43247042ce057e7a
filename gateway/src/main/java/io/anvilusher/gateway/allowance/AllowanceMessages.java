package io.anvilusher.gateway.allowance;

import java.util.List;
import java.util.Optional;

import io.anvilusher.logic.allowance.AllowanceGrant;
import io.anvilusher.logic.allowance.AllowanceReport;
import io.anvilusher.logic.allowance.GrantedCeiling;
import io.anvilusher.logic.allowance.ReportedUse;

/**
 * Converts reports and grants to messages and back.
 */
final class AllowanceMessages {

	private static final int HEAD_NUMBERS = 5;

	private static final int REPORT_NUMBERS = 3;

	private static final int GRANT_NUMBERS = 1;

	private AllowanceMessages() {
	}

	static AllowanceMessage of(AllowanceReport report) {
		return new AllowanceMessage(
				List.of(report.run(), report.sequence(), report.echoRun(), report.echoNumber(), report.freeInMs()),
				report.uses()
					.stream()
					.map((use) -> new AllowanceMessage.WorkspaceAmounts(use.workspace(),
							List.of(use.use(), use.demand(), use.ceiling())))
					.toList());
	}

	/**
	 * Converts a message to a report.
	 * @param message the message
	 * @return the report, or empty if the message has another number of values
	 */
	static Optional<AllowanceReport> toReport(AllowanceMessage message) {
		if (!hasForm(message, REPORT_NUMBERS)) {
			return Optional.empty();
		}
		List<Long> head = message.head();
		return Optional.of(new AllowanceReport(head.get(0), head.get(1), head.get(2), head.get(3), head.get(4),
				message.amounts()
					.stream()
					.map((amounts) -> new ReportedUse(amounts.workspace(), amounts.values().get(0),
							amounts.values().get(1), amounts.values().get(2)))
					.toList()));
	}

	static AllowanceMessage of(AllowanceGrant grant) {
		return new AllowanceMessage(
				List.of(grant.run(), grant.number(), grant.gatewayRun(), grant.answeredSequence(),
						(long) grant.members()),
				grant.ceilings()
					.stream()
					.map((granted) -> new AllowanceMessage.WorkspaceAmounts(granted.workspace(),
							List.of(granted.ceiling())))
					.toList());
	}

	/**
	 * Converts a message to a grant.
	 * @param message the message
	 * @return the grant, or empty if the message has another number of values, or more
	 * members than can be counted
	 */
	static Optional<AllowanceGrant> toGrant(AllowanceMessage message) {
		if (!hasForm(message, GRANT_NUMBERS) || message.head().get(4) > Integer.MAX_VALUE) {
			return Optional.empty();
		}
		List<Long> head = message.head();
		return Optional
			.of(new AllowanceGrant(head.get(0), head.get(1), head.get(2), head.get(3), head.get(4).intValue(),
					message.amounts()
						.stream()
						.map((amounts) -> new GrantedCeiling(amounts.workspace(), amounts.values().get(0)))
						.toList()));
	}

	private static boolean hasForm(AllowanceMessage message, int numbers) {
		return message.head().size() == HEAD_NUMBERS
				&& message.amounts().stream().allMatch((amounts) -> amounts.values().size() == numbers);
	}

}
