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
 * The meters of a process. All names are listed in {@code docs/METRICS.md}.
 */
public final class Meters {

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	/**
	 * Creates the meters, with a gauge of the heap in use.
	 */
	public Meters() {
		gauge("anvilusher.heap.used.bytes", Runtime.getRuntime(),
				(runtime) -> runtime.totalMemory() - runtime.freeMemory());
	}

	/**
	 * Counts a refused request.
	 * @param service the service; empty when it is not known
	 * @param reason why it was refused
	 */
	public void refused(String service, RefusalReason reason) {
		counter("anvilusher.refusals", "service", service, "reason", reason.code()).increment();
	}

	/**
	 * Counts a retry.
	 * @param service the service
	 * @param reason why the attempt before it failed
	 */
	public void retried(String service, AttemptFailure reason) {
		counter("anvilusher.retries", "service", service, "reason", reason.label()).increment();
	}

	/**
	 * Returns a counter.
	 * @param name its name
	 * @param tags names and values of its tags, in turn
	 * @return the counter
	 */
	public Counter counter(String name, String... tags) {
		return this.registry.counter(name, tags);
	}

	/**
	 * Returns a timer.
	 * @param name its name
	 * @param tags names and values of its tags, in turn
	 * @return the timer
	 */
	public Timer timer(String name, String... tags) {
		return this.registry.timer(name, tags);
	}

	/**
	 * Returns a timer with a histogram.
	 * @param name its name
	 * @param boundsMs upper bounds of the buckets, in ms
	 * @param tags names and values of its tags, in turn
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
	 * @param <T> type of the object that is measured
	 * @param name its name
	 * @param object the object that is measured
	 * @param value takes the measure
	 */
	public <T> void gauge(String name, T object, ToDoubleFunction<T> value) {
		Gauge.builder(name, object, value).strongReference(true).register(this.registry);
	}

	/**
	 * Writes all meters in Prometheus' text form.
	 * @return the text
	 */
	public String scrape() {
		return this.registry.scrape();
	}

}
