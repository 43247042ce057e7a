package io.anvilusher.entry;

import java.util.Optional;
import java.util.SplittableRandom;
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
import io.anvilusher.adapters.control.LogReader;
import io.anvilusher.adapters.control.RecordAppender;
import io.anvilusher.adapters.control.RecordFeed;
import io.anvilusher.adapters.control.RecordSubscription;
import io.anvilusher.adapters.http.BufferingHttpClient;
import io.anvilusher.adapters.http.ListenerLimits;
import io.anvilusher.adapters.http.StreamingHttpClient;
import io.anvilusher.adapters.metrics.AdminServer;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.platform.HttpPlatformLog;
import io.anvilusher.adapters.platform.PlatformLog;
import io.anvilusher.adapters.platform.ServerOrdering;
import io.anvilusher.adapters.platform.UsageReports;
import io.anvilusher.adapters.platform.VmList;
import io.anvilusher.adapters.process.LogContext;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.adapters.process.ProcessIdentity;
import io.anvilusher.entry.claim.ClaimCoordinator;
import io.anvilusher.entry.controller.ControlPlane;
import io.anvilusher.entry.dispatch.AttemptRegistry;
import io.anvilusher.entry.dispatch.Dispatcher;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.dispatch.SuspectRegistry;
import io.anvilusher.entry.dispatch.UsageMeter;
import io.anvilusher.entry.fleet.EntryPeers;
import io.anvilusher.entry.fleet.FleetWatcher;
import io.anvilusher.entry.http.CallerHttpServer;
import io.anvilusher.entry.http.RequestFilters;
import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.logic.fold.ControlState;
import io.anvilusher.logic.fold.KeyState;
import io.anvilusher.logic.routing.PrefixAffinePicker;
import io.anvilusher.model.config.Configuration;
import io.anvilusher.protocol.generated.PeerMessages.Hello;
import io.anvilusher.protocol.transport.PeerLink;
import io.anvilusher.protocol.transport.PeerServer;
import io.anvilusher.protocol.transport.PeerTiming;

/**
 * A running entry: creates, connects, starts and stops its components.
 */
public final class Entry {

	private static final Logger LOGGER = LoggerFactory.getLogger(Entry.class);

	private static final int PEER_IO_THREADS = 2;

	private static final long PEER_RECORDS_POLL_INTERVAL_MS = 1000;

	private static final long PLATFORM_TIMEOUT_MS = 2000;

	/** Time for the last usage flush to be sent before the connections are closed. */
	private static final long USAGE_FLUSH_WAIT_MS = 300;

	private final EntrySettings settings;

	private final ProcessIdentity identity;

	private final Meters meters = new Meters();

	private final ControlThread controlThread = new ControlThread();

	private final ControlFollower follower = new ControlFollower(this.controlThread, MonotonicClock.SYSTEM);

	private final StreamingHttpClient platformClient = StreamingHttpClient.create("platform", 1, this.meters);

	private final EventLoopGroup peerIoGroup = new MultiThreadIoEventLoopGroup(PEER_IO_THREADS,
			NioIoHandler.newFactory());

	private final ServerDirectory directory = new ServerDirectory(MonotonicClock.SYSTEM,
			new PrefixAffinePicker(new SplittableRandom()));

	private final ControlFreshness freshness;

	private final LogReader logReader;

	private final Dispatcher dispatcher;

	private final FleetWatcher fleet;

	private final EntryPeers peers;

	private final ControlPlane plane;

	private final CallerHttpServer callerServer;

	private final PeerServer peerServer;

	private final AdminServer admin;

	private volatile Optional<Configuration> configuration = Optional.empty();

	private volatile boolean stopping;

	private Entry(EntrySettings settings) {
		this.settings = settings;
		this.identity = ProcessIdentity.start(settings.process(), settings.dataCentre());
		LogContext.set(this.identity);
		BufferingHttpClient platformHttp = new BufferingHttpClient(this.platformClient);
		PlatformLog log = new HttpPlatformLog(platformHttp, settings.platform(), PLATFORM_TIMEOUT_MS);
		this.logReader = new LogReader(log, this.follower, this.meters);
		RecordAppender appender = new RecordAppender(log, this.follower, this.identity.incarnation(), this.meters);
		RecordFeed feed = new RecordFeed(this.follower);
		RecordSubscription subscription = new RecordSubscription(this.follower, this::needsRecordsFromPeers,
				PEER_RECORDS_POLL_INTERVAL_MS);
		AttemptRegistry registry = new AttemptRegistry(this.meters);
		ClaimCoordinator claims = new ClaimCoordinator(this.follower, appender, this.directory);
		UsageMeter usage = new UsageMeter();
		SuspectRegistry suspects = new SuspectRegistry(this.follower, appender);
		this.dispatcher = new Dispatcher(this.directory, registry, claims, suspects, this.follower, usage, this.meters);
		this.peers = new EntryPeers(this.directory, registry, this.dispatcher, claims, suspects, feed, subscription,
				(flush) -> this.plane().onUsageFlush(flush),
				(connection) -> this.controlThread.run(() -> this.fleet().notifyLeaving(connection)));
		Hello hello = hello();
		this.fleet = new FleetWatcher(settings.process(),
				new VmList(platformHttp, settings.platform(), PLATFORM_TIMEOUT_MS), this.directory, this.controlThread,
				(address) -> PeerLink.open(this.peerIoGroup, address, hello, PeerTiming.DEFAULT, this.peers));
		this.plane = new ControlPlane(this.identity, this.follower, appender, () -> this.configuration,
				settings.control(), this.fleet, this.directory, usage,
				new ServerOrdering(platformHttp, settings.platform(), PLATFORM_TIMEOUT_MS),
				new UsageReports(platformHttp, settings.platform(), PLATFORM_TIMEOUT_MS), this.peers::findEntry);
		this.freshness = new ControlFreshness(this.follower, subscription, this.fleet::mayHaveOtherEntries);
		this.follower.addListener(this::onState);
		MemoryBudget memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
		this.meters.gauge("anvilusher.memory.held.bytes", memory, MemoryBudget::heldBytes);
		this.meters.gauge("anvilusher.memory.refusals", memory, MemoryBudget::refusals);
		this.callerServer = new CallerHttpServer(settings,
				RequestFilters.chain(settings, () -> this.follower.state().keys(), this.peers::isWithdrawn,
						this.freshness, this.dispatcher, memory),
				() -> this.configuration, MonotonicClock.SYSTEM, this.meters);
		this.peerServer = PeerServer.start(this.peerIoGroup, settings.peerAddress(), hello, PeerTiming.DEFAULT,
				this.peers);
		this.admin = AdminServer.start(settings.adminAddress(),
				ListenerLimits.ofChecks("admin", settings.shares().metrics()), this.meters, this::isReady,
				() -> EntryStatus.write(this.identity, this.follower, this.directory, this.dispatcher, this.fleet,
						this.plane));
		subscription.start();
	}

	private ControlPlane plane() {
		return this.plane;
	}

	private FleetWatcher fleet() {
		return this.fleet;
	}

	private Hello hello() {
		return Hello.newBuilder()
			.setProcess(this.settings.process())
			.setIncarnation(this.identity.incarnation())
			.setRole(EntryPeers.ENTRY)
			.setDataCentre(this.settings.dataCentre())
			.build();
	}

	/**
	 * Starts an entry. Returns when it accepts connections.
	 * @param settings settings of the entry
	 * @return the running entry
	 */
	public static Entry start(EntrySettings settings) {
		Entry entry = new Entry(settings);
		entry.logReader.start();
		entry.fleet.start();
		entry.dispatcher.start();
		entry.callerServer.start();
		LOGGER.info("Entry {} listens for callers on port {}, for peers on port {}, admin on port {}",
				settings.process(), entry.callerServer.port(), entry.peerServer.port(), entry.admin.port());
		return entry;
	}

	private boolean needsRecordsFromPeers() {
		return this.freshness.isStale();
	}

	private boolean isReady() {
		return !this.stopping && this.configuration.isPresent() && this.freshness.keysAreFresh();
	}

	private void onState(ControlState before, ControlState after) {
		if (before.appliedOffset() > 0) {
			KeyState.withdrawnSince(before.keys(), after.keys()).forEach(this.peers::withdraw);
		}
		if (before.configuration().equals(after.configuration())) {
			return;
		}
		ParsedConfiguration parsed = ConfigurationParser.parse(after.configuration().text());
		if (parsed instanceof ParsedConfiguration.Valid valid) {
			this.configuration = Optional.of(valid.configuration());
			this.plane.onConfiguration();
			LOGGER.info("Configuration version {} is in force", after.configuration().versionOffset());
			return;
		}
		this.meters.counter("anvilusher.configuration.unreadable").increment();
		LOGGER.error("Configuration version {} cannot be read by this release; the previous version stays in force",
				after.configuration().versionOffset());
	}

	/**
	 * Drains the entry and stops it: reports not ready, releases the lease, waits for the
	 * active requests, sends the last usage and closes all connections. Blocks until
	 * done.
	 */
	public void drain() {
		this.stopping = true;
		try {
			TimeUnit.MILLISECONDS.sleep(this.settings.drainNoticeMs());
			this.controlThread.run(this.plane::stop);
			if (!this.callerServer.drain(this.settings.drainTimeoutMs())) {
				LOGGER.warn("Requests are still active after {} ms of draining; stopping anyway",
						this.settings.drainTimeoutMs());
			}
			this.controlThread.run(this.plane::flushUsage);
			TimeUnit.MILLISECONDS.sleep(USAGE_FLUSH_WAIT_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.callerServer.stop();
		this.dispatcher.stop();
		this.logReader.stop();
		this.fleet.stop();
		this.peerServer.close();
		this.admin.close();
		this.peerIoGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
		this.controlThread.close();
		this.platformClient.close();
	}

}
