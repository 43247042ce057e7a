package io.anvilusher.gateway.suspect;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.gateway.control.TableReadResult;
import io.anvilusher.logic.suspect.CrashObservation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link SuspectFollower}.
 */
public class SuspectFollowerTests {

	/** More requests than a report names for one crash. */
	private static final int RUNNING_REQUESTS = 64;

	/** Sorted after all other requests. */
	private static final String DEADLY = "request:zz";

	private final Map<String, String> written = new ConcurrentHashMap<>();

	private final ControlThread thread = new ControlThread();

	@AfterMethod
	public void stop() {
		this.thread.close();
	}

	/**
	 * Guards against a request that is left out of the reports because many others were
	 * running at each crash.
	 */
	@Test
	public void repeatedRequestIsConvictedHoweverManyOthersWereRunning() throws Exception {
		SuspectFollower follower = new SuspectFollower("g", new Table(),
				new TableFollower.ControlContext(this.thread, System::currentTimeMillis, new Meters()),
				System::currentTimeMillis, new Random(1), new AnsweredSubjects());
		onThread(follower::start);
		onThread(() -> {
			// The first read of the table has ended.
		});
		for (int crash = 0; crash < 4; crash++) {
			Map<String, Integer> subjects = new HashMap<>(Map.of(DEADLY, CrashObservation.REQUEST_DEPTH));
			int number = crash;
			IntStream.range(0, RUNNING_REQUESTS)
				.forEach((index) -> subjects.put("request:" + number + "-" + index, CrashObservation.REQUEST_DEPTH));
			onThread(() -> follower.onCrash("server-" + number, "s", subjects));
		}
		assertEquals(follower.verdict().convicted(), Set.of(DEADLY));
		assertTrue(this.written.get(SuspectRecord.GATEWAY_KEY + "g").contains(DEADLY), this.written.toString());
	}

	private void onThread(Runnable task) throws Exception {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.thread.run(() -> {
			task.run();
			done.complete(null);
		});
		done.get();
	}

	private final class Table implements StoreTable {

		@Override
		public CompletableFuture<TableReadResult> page(Optional<String> afterKey) {
			return CompletableFuture.completedFuture(new TableReadResult.Page(List.of(), false, 0));
		}

		@Override
		public CompletableFuture<Boolean> write(String key, Optional<byte[]> value) {
			value.ifPresent(
					(bytes) -> SuspectFollowerTests.this.written.put(key, new String(bytes, StandardCharsets.UTF_8)));
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public CompletableFuture<TableReadResult> changes(long fromOffset, long waitMs) {
			return new CompletableFuture<>();
		}

	}

}
