package io.anvilusher.adapters.metrics;

import java.time.Duration;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import io.anvilusher.model.request.AttemptFailure;
import io.anvilusher.model.request.RefusalReason;

/**
 * Metrics of the process. All names are listed in {@code docs/METRICS.md}.
 */
public final class Meters {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Creates the registry with a gauge of the heap in use.
	 */
	public Meters() {
		gauge("anvilusher.heap.used.bytes", Runtime.getRuntime(),
				(runtime) -> runtime.totalMemory() - runtime.freeMemory());
	}

	/**
	 * Counts a refused request.
	 * @param service name of the service; empty if it is not known
	 * @param reason reason of the refusal
	 */
	public void refused(String service, RefusalReason reason) {
		counter("anvilusher.refusals", "service", service, "reason", reason.code()).increment();
	}

	/**
	 * Counts a retry.
	 * @param service name of the service
	 * @param reason reason for which the previous attempt failed
	 */
	public void retried(String service, AttemptFailure reason) {
		counter("anvilusher.retries", "service", service, "reason", reason.label()).increment();
	}

	/**
	 * Returns a counter and registers it on first use.
	 * @param name name of the metric
	 * @param tags alternating names and values of its tags
	 * @return the counter
	 */
	public Counter counter(String name, String... tags) {
		return this.registry.counter(name, tags);
	}

	/**
	 * Returns a timer and registers it on first use.
	 * @param name name of the metric
	 * @param tags alternating names and values of its tags
	 * @return the timer
	 */
	public Timer timer(String name, String... tags) {
		return this.registry.timer(name, tags);
	}

	/**
	 * Returns a timer with a histogram and registers it on first use.
	 * @param name name of the metric
	 * @param boundsMs upper bounds of the buckets, in ms
	 * @param tags alternating names and values of its tags
	 * @return the timer
	 */
	public Timer histogram(String name, long[] boundsMs, String... tags) {
		return Timer.builder(name)
			.tags(tags)
			.serviceLevelObjectives(LongStream.of(boundsMs).mapToObj(Duration::ofMillis).toArray(Duration[]::new))
			.register(this.registry);
	}

	/**
	 * Registers a gauge.
	 * @param <T> type of the observed object
	 * @param name name of the gauge
	 * @param object observed object, to which a strong reference is kept
	 * @param value returns the current value of the gauge
	 * @param tags alternating names and values of its tags
	 */
	public <T> void gauge(String name, T object, ToDoubleFunction<T> value, String... tags) {
		Gauge.builder(name, object, value).tags(tags).strongReference(true).register(this.registry);
	}

	/**
	 * Returns all metrics in the text format of Prometheus.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
