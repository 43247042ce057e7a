package io.anvilusher.sidecar;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.config.ConfigurationParser;
import io.anvilusher.adapters.config.ParsedConfiguration;
import io.anvilusher.adapters.control.ControlFollower;
import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.control.RecordSubscription;
import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.metrics.AdminServer;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.platform.HttpPlatformLog;
import io.anvilusher.adapters.process.LogContext;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.model.config.ServiceSpec;
import io.anvilusher.model.fact.CrashObserved;
import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.protocol.generated.PeerMessages.AttemptStart;
import io.anvilusher.protocol.generated.PeerMessages.CrashNotice;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.Hello;
import io.anvilusher.protocol.generated.PeerMessages.VmNotice;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.protocol.transport.PeerListener;
import io.anvilusher.protocol.transport.PeerServer;
import io.anvilusher.protocol.transport.PeerTiming;
import io.anvilusher.sidecar.attempt.AdmissionGate;
import io.anvilusher.sidecar.attempt.AttemptHandler;
import io.anvilusher.sidecar.attempt.CrashDetector;
import io.anvilusher.sidecar.order.EngineClient;
import io.anvilusher.sidecar.order.OrderExecutor;

/**
 * A running sidecar. Connects the listeners for entries and administration, the attempts
 * on the backend server, the orders for the engine and the control log.
 */
public final class Sidecar implements PeerListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(Sidecar.class);

	private static final int NETTY_THREADS = 2;

	private static final int CLIENT_THREADS = 2;

	private static final long PLATFORM_TIMEOUT_MS = 2000;

	private static final long RECORDS_POLL_MS = 3000;

	/** Monitoring systems need one connection each. */
	private static final int MAX_ADMIN_CONNECTIONS = 64;

	private static final long CRASH_APPEND_TIMEOUT_MS = 60_000;

	/** Time for the entries to be notified of the drain before connections are closed. */
	private static final long LINGER_MS = 200;

	private final SidecarSettings settings;

	private final ProcessIdentity identity;

	private final Meters meters = new Meters();

	private final ControlThread controlThread = new ControlThread();

	private final ControlFollower follower = new ControlFollower(this.controlThread, MonotonicClock.SYSTEM);

	private final RecordSubscription subscription = new RecordSubscription(this.follower, () -> true, RECORDS_POLL_MS);

	private final AdmissionGate gate = new AdmissionGate();

	private final StreamingHttpClient client = StreamingHttpClient.create("backend", CLIENT_THREADS, this.meters);

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(NETTY_THREADS, NioIoHandler.newFactory());

	private final StreamingHttpClient platformClient = StreamingHttpClient.create("platform", 1, this.meters);

	private final ServerReporter reporter;

	private final AttemptHandler attempts;

	private final RecordAppender appender;

	private final OrderExecutor orders;

	private final BackendProbe probe;

	private final CrashDetector crashDetector;

	private final PeerServer peerServer;

	private final AdminServer adminServer;

	private Sidecar(SidecarSettings settings) {
		this.settings = settings;
		this.identity = ProcessIdentity.start(settings.process(), settings.dataCentre());
		LogContext.set(this.identity);
		this.reporter = new ServerReporter(settings, this.identity, this.follower, this.gate);
		this.attempts = new AttemptHandler(this.identity, MonotonicClock.SYSTEM, this.gate, this.client,
				settings.backend(), this.meters, this::onAttemptEnded);
		HttpPlatformLog log = new HttpPlatformLog(new BufferingHttpClient(this.platformClient), settings.platform(),
				PLATFORM_TIMEOUT_MS);
		this.appender = new RecordAppender(log, this.follower, this.identity.incarnation(), this.meters);
		this.orders = new OrderExecutor(settings.server(), this.identity.incarnation(), this.follower, this.appender,
				new EngineClient(new BufferingHttpClient(this.client), settings.backend()), this.gate,
				this.reporter::onChange);
		this.probe = new BackendProbe(new BufferingHttpClient(this.client), settings, this.gate,
				this.reporter::onChange);
		this.crashDetector = new CrashDetector(this.identity.incarnation(), this.controlThread, this.probe::isUp,
				this::onSuspectedCrash, this::onCrash);
		this.follower.addListener(this::onState);
		Hello hello = Hello.newBuilder()
			.setProcess(settings.process())
			.setIncarnation(this.identity.incarnation())
			.setRole("sidecar")
			.setDataCentre(settings.dataCentre())
			.setServer(settings.server())
			.setService(settings.service())
			.build();
		this.peerServer = PeerServer.start(this.group, settings.peerAddress(), hello, PeerTiming.DEFAULT, this);
		this.adminServer = AdminServer.start(settings.adminAddress(),
				ListenerLimits.ofChecks("admin", MAX_ADMIN_CONNECTIONS), this.meters,
				() -> this.gate.snapshot().reachable(), this::status);
	}

	private void onAttemptEnded(AttemptStart start, Optional<AttemptFailure> failure, List<String> running) {
		this.reporter.onChange();
		this.crashDetector.onAttemptEnded(start, failure, running);
	}

	private void onSuspectedCrash(String crashId, Set<String> fingerprints) {
		this.reporter.broadcast(Frame.newBuilder()
			.setCrashNotice(CrashNotice.newBuilder()
				.setServer(this.settings.server())
				.setCrashId(crashId)
				.addAllFingerprints(fingerprints))
			.build());
	}

	private void onCrash(String crashId, Set<String> fingerprints) {
		this.gate.setReachable(false);
		this.reporter.onChange();
		this.appender.append(new CrashObserved(crashId, this.settings.server(), List.copyOf(fingerprints)),
				CRASH_APPEND_TIMEOUT_MS);
	}

	/**
	 * Starts a sidecar.
	 * @param settings settings of the sidecar
	 * @return the running sidecar, which listens on its addresses
	 */
	public static Sidecar start(SidecarSettings settings) {
		Sidecar sidecar = new Sidecar(settings);
		sidecar.subscription.start();
		sidecar.reporter.start();
		sidecar.orders.start();
		sidecar.probe.start(sidecar.controlThread);
		LOGGER.info("Sidecar {} of server {} listens on port {}, admin on port {}", settings.process(),
				settings.server(), sidecar.peerServer.port(), sidecar.adminServer.port());
		return sidecar;
	}

	private void onState(ControlState before, ControlState after) {
		if (before.configuration().equals(after.configuration())) {
			return;
		}
		if (ConfigurationParser.parse(after.configuration().text()) instanceof ParsedConfiguration.Valid valid) {
			valid.configuration()
				.service(this.settings.service())
				.map(ServiceSpec::maxConcurrentPerServer)
				.ifPresent(this.gate::setSlots);
			this.reporter.onChange();
		}
	}

	private String status() {
		AdmissionGate.Snapshot snapshot = this.gate.snapshot();
		return "{\"server\":\"%s\",\"running\":%d,\"slots\":%d,\"draining\":%s,\"reachable\":%s,\"offset\":%d}%n"
			.formatted(this.settings.server(), snapshot.running(), snapshot.slots(), snapshot.draining(),
					snapshot.reachable(), this.follower.state().appliedOffset());
	}

	@Override
	public void onOpen(PeerConnection connection) {
		this.reporter.onOpen(connection);
		this.subscription.onOpen(connection);
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		switch (frame.getBodyCase()) {
			case ATTEMPT_START -> {
				this.attempts.onStart(connection, frame.getAttemptStart());
				this.reporter.onChange();
			}
			case ATTEMPT_CANCEL -> this.attempts.onCancel(connection, frame.getAttemptCancel().getAttemptId());
			case CREDIT -> this.attempts.onCredit(frame.getCredit());
			case ATTEMPT_QUERY -> this.attempts.onQuery(connection, frame.getAttemptQuery());
			case RECORDS_REPLY -> this.subscription.onReply(connection, frame.getRecordsReply());
			case VM_NOTICE -> onVmNotice(frame.getVmNotice());
			default -> LOGGER.debug("Ignoring frame of unexpected kind {}", frame.getBodyCase());
		}
	}

	private void onVmNotice(VmNotice notice) {
		// A VM never stops leaving, so a later notice that does not list it is outdated
		// and is ignored.
		if (notice.getLeavingVmsList().contains(this.settings.server())) {
			this.gate.setLeaving();
			this.reporter.onChange();
		}
	}

	@Override
	public void onClosed(PeerConnection connection) {
		this.reporter.onClosed(connection);
		this.subscription.onClosed(connection);
		this.attempts.onConnectionLost(connection);
	}

	/**
	 * Refuses new attempts, waits until those in progress have ended or the drain timeout
	 * has passed, and stops the sidecar.
	 */
	public void drain() {
		this.gate.stopAdmitting();
		this.reporter.reportToAll();
		try {
			if (!this.gate.awaitIdle(this.settings.drainTimeoutMs())) {
				LOGGER.warn("Attempts still in progress after the drain timeout of {} ms; stopping the sidecar anyway",
						this.settings.drainTimeoutMs());
			}
			TimeUnit.MILLISECONDS.sleep(LINGER_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.peerServer.close();
		this.adminServer.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		this.client.close();
		this.platformClient.close();
		this.controlThread.close();
	}

}
