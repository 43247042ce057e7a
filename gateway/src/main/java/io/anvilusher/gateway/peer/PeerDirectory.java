package io.anvilusher.gateway.peer;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.gateway.control.StoreTable;
import io.anvilusher.gateway.control.TableFollower;

/**
 * Keeps the entry of this gateway in the list of gateways and follows the list. Runs on
 * the control thread, except {@link #current()} and {@link #roster()}. Without the store,
 * the last list that was read stays in use.
 */
final class PeerDirectory implements TableFollower.Listener<Peer> {

	private static final Logger LOGGER = LoggerFactory.getLogger(PeerDirectory.class);

	/** Pause between two reads of changes. */
	private static final long READ_PAUSE_MS = 100;

	/** Longest wait of one read for a change. Gateways seldom join or leave. */
	private static final long READ_WAIT_MS = 10_000;

	/** Longest delay before a failed read is retried. */
	private static final long MAX_READ_RETRY_DELAY_MS = 2_000;

	/** Delay before a failed write of the own entry is retried. */
	private static final long WRITE_RETRY_DELAY_MS = 1_000;

	/**
	 * Shortest time from a confirmed write to the next one. It bounds the writes of two
	 * processes that have the same name, each of which sees the entry of the other.
	 */
	private static final long REWRITE_DELAY_MS = 5_000;

	private final Peer self;

	private final StoreTable table;

	private final TableFollower.ControlContext context;

	private final Set<String> removing = new HashSet<>();

	private boolean registered;

	private boolean writeScheduled;

	private volatile PeerList list = PeerList.EMPTY;

	private volatile Optional<PeerRoster> roster = Optional.empty();

	private long readAtMs;

	PeerDirectory(Peer self, StoreTable table, TableFollower.ControlContext context) {
		this.self = self;
		this.table = table;
		this.context = context;
		context.meters().gauge("anvilusher.peer.registered", this, (directory) -> directory.list.ordered().size());
	}

	void start() {
		writeIfUnregistered();
		new TableFollower<>("gateways", this.table, PeerEntry::decode, this, this.context,
				new TableFollower.PollIntervals(READ_PAUSE_MS, READ_WAIT_MS, MAX_READ_RETRY_DELAY_MS))
			.start();
	}

	/**
	 * Returns the newest list. May be called on any thread.
	 * @return the list; empty before the first read
	 */
	PeerList current() {
		return this.list;
	}

	/**
	 * Returns the newest list and its age. May be called on any thread.
	 * @return the list, or empty before the first read
	 */
	Optional<PeerRoster> roster() {
		return this.roster;
	}

	@Override
	public void onRead(long nowMs) {
		this.readAtMs = nowMs;
		this.roster = this.roster.map((known) -> new PeerRoster(known.capacities(), nowMs));
	}

	@Override
	public void onTable(Map<String, Peer> values) {
		PeerList next = new PeerList(values);
		if (!next.ordered().equals(this.list.ordered())) {
			LOGGER.atInfo()
				.addKeyValue("gateways", next.ordered().size())
				.addKeyValue("before", this.list.ordered().size())
				.log("List of gateways changed");
		}
		this.list = next;
		this.roster = Optional.of(new PeerRoster(
				next.ordered().stream().collect(Collectors.toMap(Peer::name, Peer::capacity)), this.readAtMs));
		boolean wasRegistered = this.registered;
		this.registered = next.find(this.self.name()).filter(this.self::equals).isPresent();
		if (wasRegistered && !this.registered) {
			LOGGER.atWarn()
				.addKeyValue("gateway", this.self.name())
				.addKeyValue("found", next.find(this.self.name()).map(Peer::toString).orElse("none"))
				.log("The entry of this gateway was removed or replaced; it is written again");
			if (!this.writeScheduled) {
				writeIfUnregistered();
			}
		}
	}

	private void writeIfUnregistered() {
		this.writeScheduled = false;
		if (this.registered) {
			return;
		}
		this.writeScheduled = true;
		this.table.write(this.self.name(), Optional.of(PeerEntry.encode(this.self)))
			.thenAccept((written) -> this.context.thread()
				.after(written ? REWRITE_DELAY_MS : WRITE_RETRY_DELAY_MS, this::writeIfUnregistered));
	}

	/**
	 * Removes an entry if the newest entry of the gateway is still the given one.
	 * @param peer the gateway
	 */
	void remove(Peer peer) {
		boolean listed = this.list.find(peer.name()).filter(peer::equals).isPresent();
		if (!listed || peer.name().equals(this.self.name()) || !this.removing.add(peer.name())) {
			return;
		}
		this.table.write(peer.name(), Optional.empty()).thenAccept((written) -> this.context.thread().run(() -> {
			this.removing.remove(peer.name());
			if (written) {
				this.context.meters().counter("anvilusher.peer.removed").increment();
			}
			LOGGER.atWarn()
				.addKeyValue("gateway", peer.name())
				.addKeyValue("confirmed", written)
				.log("A silent gateway was removed from the list of gateways");
		}));
	}

}
