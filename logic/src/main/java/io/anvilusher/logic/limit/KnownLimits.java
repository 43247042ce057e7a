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

	/**
	 * Age that is added to news when it is passed on. It exceeds the delay of a message,
	 * so that old news does not look newer each time.
	 */
	static final long RELAY_MS = 250;

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
		this.known.put(serverId, new Known(news, true, tell ? nowMs : before.toldMs()));
		return tell ? Optional.of(news) : Optional.empty();
	}

	// The last valid value stays in force, so gateways that join must learn it. It is not
	// passed on from gateway to gateway, since its age grows inexact.
	private Optional<LimitNews> tellAgain(String serverId, long nowMs) {
		Known last = this.known.get(serverId);
		if (last == null || !last.firstHand() || last.news().limitPerS().isEmpty()
				|| nowMs - last.toldMs() < TELL_INTERVAL_MS) {
			return Optional.empty();
		}
		this.known.put(serverId, new Known(last.news(), last.firstHand(), nowMs));
		return Optional.of(last.toTell());
	}

	/**
	 * Takes in news from another gateway. The newest news counts.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit in requests per second; empty if it has ended
	 * @param ageMs time since the response that brought the news, in ms; with the time
	 * that the message was under way, see {@link MessageAges}
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
			this.known.put(serverId, new Known(news, false, nowMs));
		}
		else if (before.news().limitPerS().equals(limitPerS)) {
			this.known.put(serverId, new Known(before.news(), before.firstHand(), nowMs));
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
		Known newest = this.known.get(serverId);
		OptionalDouble named = (newest != null) ? newest.news().limitPerS() : OptionalDouble.empty();
		if (named.isEmpty() || named.getAsDouble() > MAX_LIMIT_PER_S) {
			return OptionalDouble.empty();
		}
		return OptionalDouble.of(Math.max(MIN_LIMIT_PER_S, named.getAsDouble()));
	}

	/**
	 * Returns the newest news of a server, to be told to another gateway. It is sent to a
	 * keeper that is asked for the first time, and as the answer to a wish for a server
	 * that has no limit here.
	 * @param serverId identifies an incarnation of the server
	 * @return the news; empty if the server has never named a limit
	 */
	public Optional<LimitNews> newest(String serverId) {
		return Optional.ofNullable(this.known.get(serverId)).map(Known::toTell);
	}

	/**
	 * Returns what a gateway must be told that told older news.
	 * @param serverId identifies an incarnation of the server
	 * @param limitPerS the limit that it told; empty if it told that the limit has ended
	 * @param ageMs age of its news in ms
	 * @param nowMs current time of the monotonic clock
	 * @return the news; empty if nothing newer is known here
	 */
	public Optional<LimitNews> correction(String serverId, OptionalDouble limitPerS, long ageMs, long nowMs) {
		return newest(serverId).filter((news) -> !news.limitPerS().equals(limitPerS))
			.filter((news) -> news.heardAtMs() > nowMs - Math.max(0, ageMs));
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
	 * @param firstHand whether it comes from a response that this gateway received
	 * @param toldMs time at which it was last told to or heard from another gateway
	 */
	private record Known(LimitNews news, boolean firstHand, long toldMs) {

		LimitNews toTell() {
			return this.firstHand ? this.news
					: new LimitNews(this.news.serverId(), this.news.limitPerS(), this.news.heardAtMs() - RELAY_MS);
		}

	}

}
