package io.anvilusher.entry.http;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.anvilusher.entry.EntrySettings;
import io.anvilusher.entry.KeyFreshness;
import io.anvilusher.entry.dispatch.Dispatcher;
import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.logic.fold.KeyState;

/**
 * Creates the chain of filters that each request passes.
 */
public final class RequestFilters {

	private RequestFilters() {
	}

	/**
	 * Creates the chain. Its last filter passes the request to the dispatcher.
	 * @param settings settings of the entry
	 * @param keys the keys of the control state
	 * @param isWithdrawn returns whether the key with an id is known to be withdrawn,
	 * possibly before the record of the withdrawal was folded
	 * @param freshness returns whether the known keys are recent enough to accept
	 * requests
	 * @param dispatcher accepts the requests that have passed all filters
	 * @param memory budget of the memory of request bodies
	 * @return the chain
	 */
	public static FilterChain chain(EntrySettings settings, Supplier<KeyState> keys, Predicate<String> isWithdrawn,
			KeyFreshness freshness, Dispatcher dispatcher, MemoryBudget memory) {
		return new FilterChain(List.of(new HeadFilter(), new RouteFilter(), new KeyFilter(keys, isWithdrawn, freshness),
				new BodyFilter(settings.maxBodyBytes(), memory), new ChatFilter(), new AccessFilter(),
				new WorkspaceLimitFilter(), new DispatchFilter(dispatcher)));
	}

}
