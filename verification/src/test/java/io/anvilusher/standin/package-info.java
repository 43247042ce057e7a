/**
 * Simplified stand-ins for the external systems: the platform, model engines and plain
 * services. Each runs in a process of its own.
 */
@NullMarked
package io.anvilusher.standin;

import org.jspecify.annotations.NullMarked;
