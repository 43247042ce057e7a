package io.anvilusher.gateway.stream;

import java.util.concurrent.Executor;

import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.ControlTasks;

/**
 * Threads and clock of {@link SharedStreamOrigins}.
 *
 * @param traffic runs tasks on the traffic thread
 * @param control runs tasks on the control thread
 * @param clock the monotonic clock
 */
record OriginThreads(Executor traffic, ControlTasks control, MonotonicClock clock) {

}
