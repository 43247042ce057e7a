/**
 * What every process of the system has: an identity, a clock, settings and an orderly
 * stop.
 */
@NullMarked
package io.anvilusher.adapters.process;

import org.jspecify.annotations.NullMarked;
