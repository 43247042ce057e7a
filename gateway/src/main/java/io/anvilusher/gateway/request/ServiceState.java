package io.anvilusher.gateway.request;

import io.anvilusher.logic.placement.PlacementQueue;
import io.anvilusher.logic.placement.RetryAfterEstimator;
import io.anvilusher.logic.retry.SharedRetryBudget;

/**
 * State that all requests for one service share.
 *
 * @param queue requests waiting for a server with spare capacity
 * @param retryAfter estimates the Retry-After delay of refused requests
 * @param retryBudget budget that limits the retries for the service
 */
record ServiceState(PlacementQueue<GatewayRequest> queue, RetryAfterEstimator retryAfter,
		SharedRetryBudget retryBudget) {

}
