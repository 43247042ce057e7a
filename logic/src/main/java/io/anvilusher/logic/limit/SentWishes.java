package io.anvilusher.logic.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The wishes for a server whose permits would still be valid.
 */
final class SentWishes {

	private final Map<Long, SentWish> sent = new LinkedHashMap<>();

	void add(String gateway, PermitWish wish, long nowMs) {
		this.sent.put(wish.sequence(), new SentWish(gateway, wish, nowMs));
	}

	/**
	 * Finds the wish that a grant answers.
	 * @param gateway name of the gateway that sent the grant
	 * @param grant the grant
	 * @param nowMs current time of the monotonic clock
	 * @return the wish; empty if its permits have expired, or it was not sent there
	 */
	Optional<SentWish> find(String gateway, PermitGrant grant, long nowMs) {
		return Optional.ofNullable(this.sent.get(grant.answeredSequence()))
			.filter((wish) -> wish.gateway().equals(gateway) && nowMs < wish.permitsUntilMs());
	}

	/**
	 * Removes the wishes whose permits have expired.
	 * @param nowMs current time of the monotonic clock
	 * @return number of calls that were named in wishes that nobody answered
	 */
	int expire(long nowMs) {
		int calls = 0;
		Iterator<SentWish> oldestFirst = this.sent.values().iterator();
		while (oldestFirst.hasNext()) {
			SentWish oldest = oldestFirst.next();
			if (nowMs < oldest.permitsUntilMs()) {
				return calls;
			}
			calls += oldest.isAnswered() ? 0 : oldest.wish().calls();
			oldestFirst.remove();
		}
		return calls;
	}

	/**
	 * A wish that was sent.
	 */
	static final class SentWish {

		private final String gateway;

		private final PermitWish wish;

		private final long sentMs;

		private boolean answered;

		private boolean granted;

		SentWish(String gateway, PermitWish wish, long sentMs) {
			this.gateway = gateway;
			this.wish = wish;
			this.sentMs = sentMs;
		}

		String gateway() {
			return this.gateway;
		}

		PermitWish wish() {
			return this.wish;
		}

		long permitsUntilMs() {
			return this.sentMs + PermitHolder.PERMIT_MS;
		}

		boolean isAnswered() {
			return this.answered;
		}

		/**
		 * Takes in a grant.
		 * @param permits number of its permits
		 * @return number of permits that can be used; 0 if the wish was granted before
		 */
		int receive(int permits) {
			this.answered = true;
			if (this.granted || permits == 0) {
				return 0;
			}
			this.granted = true;
			return permits;
		}

	}

}
