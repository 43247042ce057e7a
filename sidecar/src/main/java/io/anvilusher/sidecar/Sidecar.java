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
import io.anvilusher.adapters.http.HttpCaller;
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
import io.anvilusher.sidecar.attempt.AttemptHandler;
import io.anvilusher.sidecar.attempt.CrashDetector;
import io.anvilusher.sidecar.attempt.ServerGate;
import io.anvilusher.sidecar.order.EngineClient;
import io.anvilusher.sidecar.order.OrderExecutor;

/**
 * A running sidecar.
 */
public final class Sidecar implements PeerListener {

	private static final Logger LOGGER = LoggerFactory.getLogger(Sidecar.class);

	private static final int NETTY_THREADS = 2;

	private static final int CLIENT_THREADS = 2;

	private static final long PLATFORM_TIMEOUT_MS = 2000;

	private static final long RECORDS_POLL_MS = 3000;

	private static final long CRASH_APPEND_TIMEOUT_MS = 60_000;

	/** Time for entries to learn of a drain before the last connection is closed. */
	private static final long LINGER_MS = 200;

	private final SidecarSettings settings;

	private final ProcessIdentity identity;

	private final Meters meters = new Meters();

	private final ControlThread controlThread = new ControlThread();

	private final ControlFollower follower = new ControlFollower(this.controlThread, MonotonicClock.SYSTEM);

	private final RecordSubscription subscription = new RecordSubscription(this.follower, () -> true, RECORDS_POLL_MS);

	private final ServerGate gate = new ServerGate();

	private final StreamingHttpClient client = StreamingHttpClient.create("backend", CLIENT_THREADS);

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(NETTY_THREADS, NioIoHandler.newFactory());

	private final StreamingHttpClient platformClient = StreamingHttpClient.create("platform", 1);

	private final ServerReporter reporter;

	private final AttemptHandler attempts;

	private final RecordAppender appender;

	private final OrderExecutor orders;

	private final BackendProbe probe;

	private final CrashDetector crashes;

	private final PeerServer peers;

	private final AdminServer admin;

	private Sidecar(SidecarSettings settings) {
		this.settings = settings;
		this.identity = ProcessIdentity.start(settings.process(), settings.dataCentre());
		LogContext.set(this.identity);
		this.reporter = new ServerReporter(settings, this.identity, this.follower, this.gate);
		this.attempts = new AttemptHandler(this.identity, MonotonicClock.SYSTEM, this.gate, this.client,
				settings.backend(), this.meters, this::onAttemptEnded);
		HttpPlatformLog log = new HttpPlatformLog(new HttpCaller(this.platformClient), settings.platform(),
				PLATFORM_TIMEOUT_MS);
		this.appender = new RecordAppender(log, this.follower, this.identity.incarnation(), this.meters);
		this.orders = new OrderExecutor(settings.server(), this.identity.incarnation(), this.follower, this.appender,
				new EngineClient(new HttpCaller(this.client), settings.backend()), this.gate, this.reporter::onChange);
		this.probe = new BackendProbe(new HttpCaller(this.client), settings, this.gate, this.reporter::onChange);
		this.crashes = new CrashDetector(this.identity.incarnation(), this.controlThread, this.probe::isUp,
				this::onSuspicion, this::onCrash);
		this.follower.addListener(this::onState);
		Hello hello = Hello.newBuilder()
			.setProcess(settings.process())
			.setIncarnation(this.identity.incarnation())
			.setRole("sidecar")
			.setDataCentre(settings.dataCentre())
			.setServer(settings.server())
			.setService(settings.service())
			.build();
		this.peers = PeerServer.start(this.group, settings.peerAddress(), hello, PeerTiming.DEFAULT, this);
		this.admin = AdminServer.start(settings.adminAddress(), this.meters, () -> this.gate.view().reachable(),
				this::status);
	}

	private void onAttemptEnded(AttemptStart start, Optional<AttemptFailure> failure, List<String> running) {
		this.reporter.onChange();
		this.crashes.onAttemptEnded(start, failure, running);
	}

	private void onSuspicion(String crashId, Set<String> fingerprints) {
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
	 * @param settings its settings
	 * @return the running sidecar
	 */
	public static Sidecar start(SidecarSettings settings) {
		Sidecar sidecar = new Sidecar(settings);
		sidecar.subscription.start();
		sidecar.reporter.start();
		sidecar.orders.start();
		sidecar.probe.start(sidecar.controlThread);
		LOGGER.info("Sidecar {} of server {} listens on port {}, admin on port {}", settings.process(),
				settings.server(), sidecar.peers.port(), sidecar.admin.port());
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
		ServerGate.View view = this.gate.view();
		return "{\"server\":\"%s\",\"running\":%d,\"slots\":%d,\"draining\":%s,\"reachable\":%s,\"offset\":%d}%n"
			.formatted(this.settings.server(), view.running(), view.slots(), view.draining(), view.reachable(),
					this.follower.state().appliedOffset());
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
			default -> LOGGER.debug("Passing over a frame of kind {}", frame.getBodyCase());
		}
	}

	private void onVmNotice(VmNotice notice) {
		// A VM that is leaving does not stay, so a list that lacks it is only an older
		// one.
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
	 * Finishes the attempts in hand and stops.
	 */
	public void drain() {
		this.gate.stop();
		this.reporter.reportToAll();
		try {
			if (!this.gate.awaitIdle(this.settings.drainTimeoutMs())) {
				LOGGER.warn("Attempts still run after {} ms; stopping all the same", this.settings.drainTimeoutMs());
			}
			TimeUnit.MILLISECONDS.sleep(LINGER_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.peers.close();
		this.admin.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		this.client.close();
		this.platformClient.close();
		this.controlThread.close();
	}

}
