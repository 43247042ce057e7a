package io.anvilusher.entry.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.entry.claim.ClaimCoordinator;
import io.anvilusher.model.config.LatencyTargets;
import io.anvilusher.model.config.LogOutagePolicy;
import io.anvilusher.model.config.ScaleSpec;
import io.anvilusher.model.config.ServiceKind;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.AttemptOutcome;
import io.anvilusher.model.request.HttpHeader;
import io.anvilusher.model.request.RefusalReason;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against callers that are told "not run" although an earlier attempt may have run
 * their request.
 */
public class RefusedRetryTests {

	/** Requests of a service that wait for a server at most. */
	private static final int QUEUE_LENGTH = 4_096;

	private static final ServiceSpec SERVICE = new ServiceSpec("s", ServiceKind.PLAIN, List.of(), List.of(), List.of(),
			new LatencyTargets(1_000, 1_000, 60_000), 4, LogOutagePolicy.REFUSE, ScaleSpec.UNMANAGED, Optional.empty());

	private ControlThread control;

	private Dispatcher dispatcher;

	@BeforeMethod
	public void startDispatcher() {
		this.control = new ControlThread();
		ControlFollower follower = new ControlFollower(this.control, MonotonicClock.SYSTEM);
		Meters meters = new Meters();
		ServerDirectory directory = new ServerDirectory(MonotonicClock.SYSTEM,
				(servers, prefixHash) -> Optional.empty());
		this.dispatcher = new Dispatcher(directory, new AttemptRegistry(meters),
				new ClaimCoordinator(follower, null, directory), new SuspectRegistry(follower, null), follower,
				new UsageMeter(), meters);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.dispatcher.stop();
		this.control.close();
	}

	private static CallerRequest request(int number) {
		return new CallerRequest("r" + number, Optional.empty(), "", SERVICE, "GET", "/x", List.of(), new byte[0], true,
				Optional.empty(), false, "f" + number, OptionalLong.empty(), MonotonicClock.SYSTEM.nowMs());
	}

	private void fillQueue() {
		for (int number = 0; number < QUEUE_LENGTH; number++) {
			this.dispatcher.submit(request(number), new Sink());
		}
	}

	@Test
	public void requestThatMayHaveRunIsNotRefusedAsNotRunByAFullQueue() throws Exception {
		fillQueue();
		Sink sink = new Sink();
		DispatchedRequest retried = new DispatchedRequest(request(-1), sink, this.dispatcher);
		retried.onEnded(new AttemptOutcome.Unknown(AttemptFailure.LINK_LOST), 0, 0);
		RefusalReason reason = sink.refusal.get(5, TimeUnit.SECONDS);
		assertEquals(reason, RefusalReason.SERVER_LOST);
	}

	@Test
	public void newRequestIsRefusedAsNotRunByAFullQueue() throws Exception {
		fillQueue();
		Sink sink = new Sink();
		this.dispatcher.submit(request(-1), sink);
		RefusalReason reason = sink.refusal.get(5, TimeUnit.SECONDS);
		assertTrue(reason.notRun(), reason.code());
	}

	private static final class Sink implements ResponseSink {

		private final CompletableFuture<RefusalReason> refusal = new CompletableFuture<>();

		private final List<Integer> statuses = new ArrayList<>();

		@Override
		public void respond(int status, List<HttpHeader> headers, ByteString body) {
			this.statuses.add(status);
		}

		@Override
		public void begin(int status, List<HttpHeader> headers) {
			this.statuses.add(status);
		}

		@Override
		public void write(ByteString data, Runnable onWritten) {
			onWritten.run();
		}

		@Override
		public void end() {
		}

		@Override
		public void refuse(RefusalReason reason, String detail) {
			this.refusal.complete(reason);
		}

		@Override
		public void onCallerDisconnected(Runnable action) {
		}

	}

}
