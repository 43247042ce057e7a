package io.anvilusher.entry.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.model.fact.SuspectCleared;
import io.anvilusher.protocol.generated.PeerMessages.CrashNotice;

/**
 * Counts the server crashes during which each request was running. Combines the crashes
 * of the control state with those of crash notices, which sidecars send directly and
 * which arrive before the log records are folded.
 */
public final class SuspectRegistry {

	/** Number of crashes from which on a request is refused. */
	private static final int MAX_CRASHES = 2;

	/**
	 * Maximum number of requests remembered from crash notices; the oldest are evicted
	 * first.
	 */
	private static final int MAX_NOTICED_REQUESTS = 4096;

	private static final long APPEND_TIMEOUT_MS = 10_000;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final Map<String, Set<String>> noticedCrashIds = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
			return size() > MAX_NOTICED_REQUESTS;
		}

	};

	/**
	 * Creates a registry without crash notices.
	 * @param follower the control state
	 * @param appender appends the records that clear suspects
	 */
	public SuspectRegistry(ControlFollower follower, RecordAppender appender) {
		this.follower = follower;
		this.appender = appender;
	}

	/**
	 * Adds the requests of a crash notice.
	 * @param notice the notice of a sidecar whose backend server crashed
	 */
	public synchronized void onCrashNotice(CrashNotice notice) {
		notice.getFingerprintsList()
			.forEach((fingerprint) -> this.noticedCrashIds
				.computeIfAbsent(fingerprint, (key) -> ConcurrentHashMap.newKeySet())
				.add(notice.getCrashId()));
	}

	/**
	 * Returns whether a request is suspected of crashing servers.
	 * @param fingerprint hash of the request
	 * @return whether it was running during at least one crash
	 */
	synchronized boolean isSuspect(String fingerprint) {
		return crashCount(fingerprint) > 0;
	}

	/**
	 * Returns whether a request was running during so many crashes that it is refused.
	 * @param fingerprint hash of the request
	 * @return whether the request is to be refused
	 */
	synchronized boolean hasReachedCrashLimit(String fingerprint) {
		return crashCount(fingerprint) >= MAX_CRASHES;
	}

	private int crashCount(String fingerprint) {
		return Math.max(this.follower.state().suspects().crashes(fingerprint),
				this.noticedCrashIds.getOrDefault(fingerprint, Set.of()).size());
	}

	/**
	 * Clears a suspect after it received a complete response. Appends a record only if
	 * the control state counts crashes for it.
	 * @param fingerprint hash of the request
	 */
	void clear(String fingerprint) {
		synchronized (this) {
			this.noticedCrashIds.remove(fingerprint);
		}
		if (this.follower.state().suspects().crashes(fingerprint) > 0) {
			this.appender.append(new SuspectCleared(fingerprint), APPEND_TIMEOUT_MS);
		}
	}

}
