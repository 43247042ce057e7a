/**
 * The demonstration and the benchmarks.
 */
@NullMarked
package io.anvilusher.bench;

import org.jspecify.annotations.NullMarked;
