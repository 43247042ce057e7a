/**
 * Metrics of the process, and the HTTP server for health checks, metrics and status.
 */
@NullMarked
package io.anvilusher.adapters.metrics;

import org.jspecify.annotations.NullMarked;
