package io.anvilusher.logic.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * What this gateway knows of the limits that servers name. Confined to one thread.
 */
public final class KnownLimits {

	/** Smallest limit in force. Only a response can end a limit. */
	public static final double MIN_LIMIT_PER_S = 0.25;

	/** Largest limit in force. A server that names a larger one has none. */
	public static final double MAX_LIMIT_PER_S = 100_000;

	/** Time for which a gateway that told or heard a limit does not tell it again. */
	static final long TELL_INTERVAL_MS = 1_000;

	private final Map<String, Known> known = new HashMap<>();

	/**
	 * Takes in a response of a server.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit that the response names in requests per second; empty if
	 * it names none. A negative or infinite one and NaN are ignored.
	 * @param requestSentAtMs time at which the request was sent, by the monotonic clock
	 * @param nowMs current time of the monotonic clock
	 * @return the news to be told to all gateways; empty if none is needed
	 */
	public Optional<LimitNews> onResponse(String serverId, OptionalDouble limitPerS, long requestSentAtMs, long nowMs) {
		Known before = this.known.get(serverId);
		if (limitPerS.isPresent() && !LimitNews.isValid(limitPerS.getAsDouble())) {
			return tellAgain(serverId, nowMs);
		}
		if (limitPerS.isEmpty() && (before == null || requestSentAtMs <= before.news().heardAtMs())) {
			return Optional.empty();
		}
		LimitNews news = new LimitNews(serverId, limitPerS, nowMs);
		boolean same = before != null && before.news().limitPerS().equals(limitPerS);
		boolean tell = !same || (limitPerS.isPresent() && nowMs - before.toldMs() >= TELL_INTERVAL_MS);
		this.known.put(serverId, new Known(news, tell ? nowMs : before.toldMs()));
		return tell ? Optional.of(news) : Optional.empty();
	}

	// The last valid value stays in force, so gateways that join must learn it.
	private Optional<LimitNews> tellAgain(String serverId, long nowMs) {
		Known last = this.known.get(serverId);
		if (last == null || last.news().limitPerS().isEmpty() || nowMs - last.toldMs() < TELL_INTERVAL_MS) {
			return Optional.empty();
		}
		this.known.put(serverId, new Known(last.news(), nowMs));
		return Optional.of(last.news());
	}

	/**
	 * Takes in news from another gateway. The newest news counts.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit in requests per second; empty if it has ended
	 * @param ageMs time since the response that brought the news, in ms
	 * @param nowMs current time of the monotonic clock
	 * @return whether the limit in force has changed
	 */
	public boolean onNews(String serverId, OptionalDouble limitPerS, long ageMs, long nowMs) {
		if (limitPerS.isPresent() && !LimitNews.isValid(limitPerS.getAsDouble())) {
			return false;
		}
		Known before = this.known.get(serverId);
		OptionalDouble inForceBefore = limitPerS(serverId);
		LimitNews news = new LimitNews(serverId, limitPerS, nowMs - Math.max(0, ageMs));
		if (before == null || news.heardAtMs() > before.news().heardAtMs()) {
			this.known.put(serverId, new Known(news, nowMs));
		}
		else if (before.news().limitPerS().equals(limitPerS)) {
			this.known.put(serverId, new Known(before.news(), nowMs));
		}
		return !limitPerS(serverId).equals(inForceBefore);
	}

	/**
	 * Returns the limit in force.
	 * @param serverId identifies an incarnation of the server
	 * @return the limit in requests per second, from {@link #MIN_LIMIT_PER_S} to
	 * {@link #MAX_LIMIT_PER_S}; empty if none is in force
	 */
	public OptionalDouble limitPerS(String serverId) {
		OptionalDouble named = newest(serverId).map(LimitNews::limitPerS).orElse(OptionalDouble.empty());
		if (named.isEmpty() || named.getAsDouble() > MAX_LIMIT_PER_S) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(Math.max(MIN_LIMIT_PER_S, named.getAsDouble()));
	}

	/**
	 * Returns the newest news of a server. It is the answer to a gateway that asks for
	 * permits after the limit has ended.
	 * @param serverId identifies an incarnation of the server
	 * @return the news; empty if the server has never named a limit
	 */
	public Optional<LimitNews> newest(String serverId) {
		return Optional.ofNullable(this.known.get(serverId)).map(Known::news);
	}

	/**
	 * Forgets the servers that are gone.
	 * @param serverIds the servers that exist
	 */
	public void retain(Set<String> serverIds) {
		this.known.keySet().retainAll(serverIds);
	}

	/**
	 * What is known of a server.
	 *
	 * @param news the newest news
	 * @param toldMs time at which it was last told to or heard from another gateway
	 */
	private record Known(LimitNews news, long toldMs) {

	}

}
