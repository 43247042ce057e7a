package io.anvilusher.entry.command;

import java.net.URI;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.control.LogReader;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.control.RecordDecision;
import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.platform.HttpPlatformLog;
import io.anvilusher.adapters.platform.PlatformLog;
import io.anvilusher.adapters.platform.VmList;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.fact.Fact;

/**
 * Access of a command to the platform: reads the log to its end and appends records.
 */
final class PlatformSession implements AutoCloseable {

	private static final long REQUEST_TIMEOUT_MS = 2000;

	private static final long STATE_CHECK_INTERVAL_MS = 10;

	private final ControlThread thread = new ControlThread();

	private final ControlFollower follower = new ControlFollower(this.thread, MonotonicClock.SYSTEM);

	private final StreamingHttpClient client = StreamingHttpClient.create("command", 1);

	private final LogReader reader;

	private final RecordAppender appender;

	private final VmList vmList;

	private final long timeoutMs;

	private PlatformSession(URI platform, long timeoutMs) {
		BufferingHttpClient httpClient = new BufferingHttpClient(this.client);
		PlatformLog log = new HttpPlatformLog(httpClient, platform, REQUEST_TIMEOUT_MS);
		Meters meters = new Meters();
		this.reader = new LogReader(log, this.follower, meters);
		this.appender = new RecordAppender(log, this.follower, "operator-" + UUID.randomUUID(), meters);
		this.vmList = new VmList(httpClient, platform, REQUEST_TIMEOUT_MS);
		this.timeoutMs = timeoutMs;
	}

	/**
	 * Opens a session and reads the log to its end.
	 * @param platform the HTTP interface of the platform
	 * @param timeoutMs longest time to wait for the platform
	 * @return the session, or empty if the log could not be read to its end in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	static Optional<PlatformSession> open(URI platform, long timeoutMs) throws InterruptedException {
		PlatformSession session = new PlatformSession(platform, timeoutMs);
		session.reader.start();
		long deadlineMs = MonotonicClock.SYSTEM.nowMs() + timeoutMs;
		while (session.follower.ageMs() == Long.MAX_VALUE) {
			if (MonotonicClock.SYSTEM.nowMs() > deadlineMs) {
				session.close();
				return Optional.empty();
			}
			TimeUnit.MILLISECONDS.sleep(STATE_CHECK_INTERVAL_MS);
		}
		return Optional.of(session);
	}

	ControlState state() {
		return this.follower.state();
	}

	VmList vmList() {
		return this.vmList;
	}

	RecordDecision append(Fact fact) throws InterruptedException {
		try {
			return this.appender.append(fact, this.timeoutMs)
				.get(this.timeoutMs + REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException | TimeoutException ex) {
			return new RecordDecision.Undecided();
		}
	}

	@Override
	public void close() {
		this.reader.stop();
		this.thread.close();
		this.client.close();
	}

}
