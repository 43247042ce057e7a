/**
 * Meters and the HTTP interface for health and metrics.
 */
@NullMarked
package io.anvilusher.adapters.metrics;

import org.jspecify.annotations.NullMarked;
