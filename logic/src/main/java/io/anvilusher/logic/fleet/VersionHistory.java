package io.anvilusher.logic.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import io.anvilusher.model.fleet.RegisteredServer;

/**
 * The software versions that servers of each service were registered with, over time.
 * While a service has had a single version for longer than a stream lasts, any stream of
 * it that is still of use was begun by that version. Safe for use by several threads.
 */
public final class VersionHistory {

	/**
	 * Maximum of versions that are remembered of a service. Those that are kept show as
	 * well that there were several.
	 */
	private static final int MAX_VERSIONS = 16;

	private final long maxReadAgeMs;

	private final Map<String, Map<String, Long>> lastSeenMsByService = new HashMap<>();

	private List<RegisteredServer> registered = List.of();

	private OptionalLong unbrokenSinceMs = OptionalLong.empty();

	private long lastReadMs;

	private OptionalLong longestStreamMs = OptionalLong.empty();

	private OptionalLong missedAtMs = OptionalLong.empty();

	/**
	 * Creates a history without servers.
	 * @param maxReadAgeMs longest time between two reads of the store, in ms, after which
	 * the view of the store counts as interrupted
	 */
	public VersionHistory(long maxReadAgeMs) {
		this.maxReadAgeMs = maxReadAgeMs;
	}

	/**
	 * Records how long streams may last.
	 * @param timeoutMs longest timeout of the routes in use, in ms; a shorter one than
	 * before changes nothing, since older streams may still be taken up
	 */
	public synchronized void onLongestTimeout(long timeoutMs) {
		this.longestStreamMs = OptionalLong.of(Math.max(timeoutMs, this.longestStreamMs.orElse(0)));
	}

	/**
	 * Records one registration, also one that is replaced before the servers in use are
	 * determined.
	 * @param server the registration
	 * @param nowMs monotonic time, in ms
	 */
	public synchronized void onRegistration(RegisteredServer server, long nowMs) {
		onSeen(Stream.of(server), nowMs);
	}

	/**
	 * Records the servers in use.
	 * @param servers all registered servers, including draining ones
	 * @param nowMs monotonic time, in ms
	 */
	public synchronized void onServers(Collection<RegisteredServer> servers, long nowMs) {
		onSeen(this.registered.stream(), nowMs);
		this.registered = List.copyOf(servers);
		onSeen(this.registered.stream(), nowMs);
	}

	private void onSeen(Stream<RegisteredServer> servers, long nowMs) {
		servers.forEach((server) -> {
			Map<String, Long> lastSeenMs = this.lastSeenMsByService.computeIfAbsent(server.service(),
					(service) -> new HashMap<>());
			lastSeenMs.put(server.softwareVersion(), nowMs);
			if (lastSeenMs.size() > MAX_VERSIONS) {
				lastSeenMs.entrySet()
					.stream()
					.min(Map.Entry.comparingByValue())
					.map(Map.Entry::getKey)
					.ifPresent(lastSeenMs::remove);
			}
		});
	}

	/**
	 * Records that the store was read.
	 * @param nowMs monotonic time, in ms
	 */
	public synchronized void onRead(long nowMs) {
		if (this.unbrokenSinceMs.isEmpty() || nowMs - this.lastReadMs > this.maxReadAgeMs) {
			this.unbrokenSinceMs = OptionalLong.of(nowMs);
		}
		this.lastReadMs = nowMs;
	}

	/**
	 * Records that changes were missed, since the store no longer has them: a version may
	 * have come and gone unseen.
	 * @param nowMs monotonic time, in ms
	 */
	public synchronized void onChangesMissed(long nowMs) {
		this.unbrokenSinceMs = OptionalLong.empty();
		this.missedAtMs = OptionalLong.of(nowMs);
	}

	/**
	 * Records that the store is unreachable.
	 */
	public synchronized void onUnreachable() {
		this.unbrokenSinceMs = OptionalLong.empty();
	}

	/**
	 * Returns the software version that began all streams of a service that may still be
	 * taken up.
	 * @param service name of the service
	 * @param nowMs monotonic time, in ms
	 * @return the version; empty if there were several, it is not known, or the view of
	 * the store has not been unbroken for longer than a stream lasts
	 */
	public synchronized Optional<String> onlyVersion(String service, long nowMs) {
		boolean unbroken = this.unbrokenSinceMs.isPresent() && this.longestStreamMs.isPresent()
				&& nowMs - this.lastReadMs <= this.maxReadAgeMs
				&& nowMs - this.unbrokenSinceMs.getAsLong() > this.longestStreamMs.getAsLong();
		if (!unbroken) {
			return Optional.empty();
		}
		onSeen(this.registered.stream(), nowMs);
		long fromMs = nowMs - this.longestStreamMs.getAsLong();
		return only(this.lastSeenMsByService.getOrDefault(service, Map.of())
			.entrySet()
			.stream()
			.filter((seen) -> seen.getValue() >= fromMs)
			.map(Map.Entry::getKey)
			.toList());
	}

	/**
	 * Returns the software version of a service if this process has known only one.
	 * @param service name of the service
	 * @param nowMs monotonic time, in ms
	 * @return the version; empty if there were several, it is not known, or changes were
	 * missed less than the life of a stream ago
	 */
	public synchronized Optional<String> onlyVersionSinceStart(String service, long nowMs) {
		boolean missed = this.missedAtMs.isPresent() && (this.longestStreamMs.isEmpty()
				|| nowMs - this.missedAtMs.getAsLong() <= this.longestStreamMs.getAsLong());
		return missed ? Optional.empty() : only(this.lastSeenMsByService.getOrDefault(service, Map.of()).keySet());
	}

	private static Optional<String> only(Collection<String> versions) {
		return Optional.of(versions)
			.filter((known) -> known.size() == 1)
			.map((known) -> known.iterator().next())
			.filter((version) -> !version.isEmpty());
	}

}
