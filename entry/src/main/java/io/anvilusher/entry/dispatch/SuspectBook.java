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
 * The requests that were running when backend servers crashed: those of the log, and
 * those that sidecars have just told of, ahead of the log.
 */
public final class SuspectBook {

	/** Crashes after which a request is refused. */
	private static final int MAX_CRASHES = 2;

	private static final int MAX_NOTICES = 4096;

	private static final long APPEND_TIMEOUT_MS = 10_000;

	private final ControlFollower follower;

	private final RecordAppender appender;

	private final Map<String, Set<String>> notices = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Set<String>> eldest) {
			return size() > MAX_NOTICES;
		}

	};

	/**
	 * Creates a book.
	 * @param follower the control state
	 * @param appender appends the end of suspicions
	 */
	public SuspectBook(ControlFollower follower, RecordAppender appender) {
		this.follower = follower;
		this.appender = appender;
	}

	/**
	 * Takes in a sidecar's word on a crash.
	 * @param notice the crash
	 */
	public synchronized void onNotice(CrashNotice notice) {
		notice.getFingerprintsList()
			.forEach((fingerprint) -> this.notices.computeIfAbsent(fingerprint, (key) -> ConcurrentHashMap.newKeySet())
				.add(notice.getCrashId()));
	}

	/**
	 * Tells whether a request is suspected.
	 * @param fingerprint hash of the request
	 * @return whether it was running at a crash
	 */
	synchronized boolean isSuspect(String fingerprint) {
		return crashes(fingerprint) > 0;
	}

	/**
	 * Tells whether a request has crashed as many servers as any may.
	 * @param fingerprint hash of the request
	 * @return whether it is to be refused
	 */
	synchronized boolean isRefused(String fingerprint) {
		return crashes(fingerprint) >= MAX_CRASHES;
	}

	private int crashes(String fingerprint) {
		return Math.max(this.follower.state().suspects().crashes(fingerprint),
				this.notices.getOrDefault(fingerprint, Set.of()).size());
	}

	/**
	 * Ends the suspicion of a request that ran alone to its end.
	 * @param fingerprint hash of the request
	 */
	void clear(String fingerprint) {
		synchronized (this) {
			this.notices.remove(fingerprint);
		}
		if (this.follower.state().suspects().crashes(fingerprint) > 0) {
			this.appender.append(new SuspectCleared(fingerprint), APPEND_TIMEOUT_MS);
		}
	}

}
