package io.anvilusher.gateway.request;

import io.anvilusher.logic.placement.ReturnTime;
import io.anvilusher.logic.placement.WaitLine;
import io.anvilusher.logic.retry.SharedRetryBudget;

/**
 * What the requests for one service share.
 *
 * @param line requests that wait for a place
 * @param returns when callers that are turned away should come back
 * @param retries repeats that the service may still get
 */
record ServiceDesk(WaitLine<GatewayRequest> line, ReturnTime returns, SharedRetryBudget retries) {

}
