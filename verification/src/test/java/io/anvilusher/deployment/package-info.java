/**
 * Runs the product's processes and the stand-ins on the loopback interface, for tests and
 * benchmarks.
 */
@NullMarked
package io.anvilusher.deployment;

import org.jspecify.annotations.NullMarked;
