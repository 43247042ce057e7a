package io.anvilusher.entry.http;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.anvilusher.entry.EntrySettings;
import io.anvilusher.entry.KeyFreshness;
import io.anvilusher.entry.dispatch.Dispatcher;
import io.anvilusher.logic.fold.KeyState;

/**
 * The filters of a request, in their order.
 */
public final class RequestFilters {

	private RequestFilters() {
	}

	/**
	 * Creates the chain.
	 * @param settings settings of the entry
	 * @param keys the granted keys
	 * @param withdrawnAhead tells whether a key was withdrawn ahead of the log
	 * @param freshness tells whether the view of keys is new enough
	 * @param dispatcher takes in checked requests
	 * @return the chain
	 */
	public static FilterChain chain(EntrySettings settings, Supplier<KeyState> keys, Predicate<String> withdrawnAhead,
			KeyFreshness freshness, Dispatcher dispatcher) {
		return new FilterChain(List.of(new HeadFilter(), new RouteFilter(),
				new KeyFilter(keys, withdrawnAhead, freshness), new BodyFilter(settings.maxBodyBytes()),
				new ChatFilter(), new AccessFilter(), new WorkspaceLimitFilter(), new DispatchFilter(dispatcher)));
	}

}
