package io.anvilusher.gateway.stream;

import java.util.concurrent.Executor;

import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Threads and clock of {@link SharedStreamOrigins}.
 *
 * @param traffic runs tasks on the traffic thread
 * @param control runs tasks on the control thread
 * @param clock the monotonic clock
 */
record OriginThreads(Executor traffic, ControlTasks control, MonotonicClock clock) {

}
