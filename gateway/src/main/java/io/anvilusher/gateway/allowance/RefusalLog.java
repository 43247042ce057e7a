package io.anvilusher.gateway.allowance;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the start and the end of each period in which requests of a workspace are refused.
 * A period ends 10 s after its last refusal, so that there is at most one line of each
 * kind in 10 s for each workspace.
 */
final class RefusalLog {

	private static final Logger LOGGER = LoggerFactory.getLogger(RefusalLog.class);

	private static final long QUIET_MS = 10_000;

	private final Map<String, Period> periods = new HashMap<>();

	void onRefused(String workspace, long cost, long retryAfterMs, long nowMs) {
		Period period = this.periods.computeIfAbsent(workspace, (name) -> {
			LOGGER.atWarn()
				.addKeyValue("workspace", workspace)
				.addKeyValue("cost", cost)
				.addKeyValue("retry_after_ms", retryAfterMs)
				.log("The allowance of a workspace is used up; its requests are refused until there is room");
			return new Period(nowMs);
		});
		period.refusals++;
		period.lastMs = nowMs;
	}

	/**
	 * Ends the periods whose last refusal is long ago.
	 * @param nowMs the current time, by the monotonic clock
	 */
	void endPeriods(long nowMs) {
		Iterator<Map.Entry<String, Period>> entries = this.periods.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<String, Period> entry = entries.next();
			Period period = entry.getValue();
			if (nowMs - period.lastMs >= QUIET_MS) {
				entries.remove();
				LOGGER.atInfo()
					.addKeyValue("workspace", entry.getKey())
					.addKeyValue("refusals", period.refusals)
					.addKeyValue("duration_ms", period.lastMs - period.startMs)
					.log("Requests of a workspace are no longer refused because of its allowance");
			}
		}
	}

	/**
	 * A period in which requests are refused.
	 */
	private static final class Period {

		private final long startMs;

		private long lastMs;

		private long refusals;

		Period(long startMs) {
			this.startMs = startMs;
			this.lastMs = startMs;
		}

	}

}
