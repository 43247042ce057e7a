package io.anvilusher.entry.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.control.RecordFeed;
import io.anvilusher.adapters.control.RecordSubscription;
import io.anvilusher.entry.claim.ClaimCoordinator;
import io.anvilusher.entry.dispatch.AttemptRegistry;
import io.anvilusher.entry.dispatch.Dispatcher;
import io.anvilusher.entry.dispatch.ServerDirectory;
import io.anvilusher.entry.dispatch.SuspectRegistry;
import io.anvilusher.protocol.generated.PeerMessages.Frame;
import io.anvilusher.protocol.generated.PeerMessages.UsageFlush;
import io.anvilusher.protocol.generated.PeerMessages.Withdrawal;
import io.anvilusher.protocol.transport.PeerConnection;
import io.anvilusher.protocol.transport.PeerListener;

/**
 * Receives the frames of sidecars and other entries and passes each to the component that
 * handles it. Distributes withdrawals of keys among the entries.
 */
public final class EntryPeers implements PeerListener {

	/** Role of a sidecar in its hello. */
	public static final String SIDECAR = "sidecar";

	/** Role of an entry in its hello. */
	public static final String ENTRY = "entry";

	private static final Logger LOGGER = LoggerFactory.getLogger(EntryPeers.class);

	private final ServerDirectory directory;

	private final AttemptRegistry registry;

	private final Dispatcher dispatcher;

	private final ClaimCoordinator claims;

	private final SuspectRegistry suspects;

	private final RecordFeed feed;

	private final RecordSubscription subscription;

	private final Consumer<UsageFlush> onUsageFlush;

	private final Consumer<PeerConnection> onSidecarOpen;

	private final Set<String> withdrawnKeyIds = ConcurrentHashMap.newKeySet();

	private final Set<PeerConnection> entries = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a listener without connections.
	 * @param directory the backend servers
	 * @param registry the attempts in progress
	 * @param dispatcher the active requests
	 * @param claims the claims of non-repeatable requests
	 * @param suspects requests suspected of crashing servers
	 * @param feed sends log records to peers
	 * @param subscription receives log records from other entries
	 * @param onUsageFlush receives the usage of other entries
	 * @param onSidecarOpen called with each new connection to a sidecar
	 */
	public EntryPeers(ServerDirectory directory, AttemptRegistry registry, Dispatcher dispatcher,
			ClaimCoordinator claims, SuspectRegistry suspects, RecordFeed feed, RecordSubscription subscription,
			Consumer<UsageFlush> onUsageFlush, Consumer<PeerConnection> onSidecarOpen) {
		this.directory = directory;
		this.registry = registry;
		this.dispatcher = dispatcher;
		this.claims = claims;
		this.suspects = suspects;
		this.feed = feed;
		this.subscription = subscription;
		this.onUsageFlush = onUsageFlush;
		this.onSidecarOpen = onSidecarOpen;
	}

	@Override
	public void onOpen(PeerConnection connection) {
		if (connection.remote().getRole().equals(SIDECAR)) {
			this.directory.onOpen(connection);
			this.onSidecarOpen.accept(connection);
			return;
		}
		this.entries.add(connection);
		this.subscription.onOpen(connection);
		this.withdrawnKeyIds.forEach((keyId) -> connection.send(withdrawal(keyId)));
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		if (this.registry.onFrame(connection, frame)) {
			return;
		}
		switch (frame.getBodyCase()) {
			case SERVER_REPORT -> {
				this.directory.onReport(connection, frame.getServerReport());
				this.dispatcher.onServersChanged(frame.getServerReport().getService());
			}
			case ATTEMPT_VERDICT -> this.claims.onVerdict(frame.getAttemptVerdict());
			case RECORDS_REQUEST -> this.feed.onRequest(connection, frame.getRecordsRequest());
			case RECORDS_REPLY -> this.subscription.onReply(connection, frame.getRecordsReply());
			case USAGE_FLUSH -> this.onUsageFlush.accept(frame.getUsageFlush());
			case CRASH_NOTICE -> this.suspects.onCrashNotice(frame.getCrashNotice());
			case WITHDRAWAL -> withdraw(frame.getWithdrawal().getKeyId());
			default -> LOGGER.debug("Ignoring a frame of unexpected kind {}", frame.getBodyCase());
		}
	}

	@Override
	public void onClosed(PeerConnection connection) {
		this.feed.onClosed(connection);
		if (connection.remote().getRole().equals(SIDECAR)) {
			this.directory.onClosed(connection);
			this.registry.onClosed(connection);
			return;
		}
		this.entries.remove(connection);
		this.subscription.onClosed(connection);
	}

	/**
	 * Withdraws a key at once at this entry and at all other entries, without waiting for
	 * the log. A withdrawal is never undone, so its order with other changes is
	 * irrelevant.
	 * @param keyId public part of the key
	 */
	public void withdraw(String keyId) {
		if (!this.withdrawnKeyIds.add(keyId)) {
			return;
		}
		this.dispatcher.onKeyWithdrawn(keyId);
		this.entries.forEach((entry) -> entry.send(withdrawal(keyId)));
	}

	/**
	 * Returns whether this entry was informed that a key was withdrawn, which can be
	 * before the record of the withdrawal was folded.
	 * @param keyId public part of the key
	 * @return whether the key was withdrawn
	 */
	public boolean isWithdrawn(String keyId) {
		return this.withdrawnKeyIds.contains(keyId);
	}

	/**
	 * Finds the connection to another entry.
	 * @param incarnation incarnation of the entry
	 * @return the connection, or empty if the entry is not connected
	 */
	public Optional<PeerConnection> findEntry(String incarnation) {
		return this.entries.stream()
			.filter((connection) -> connection.remote().getIncarnation().equals(incarnation))
			.findFirst();
	}

	private static Frame withdrawal(String keyId) {
		return Frame.newBuilder().setWithdrawal(Withdrawal.newBuilder().setKeyId(keyId)).build();
	}

}
