/**
 * Parts that every process of the system uses: identity, clock, settings file, command
 * line and graceful shutdown.
 */
@NullMarked
package io.anvilusher.adapters.process;

import org.jspecify.annotations.NullMarked;
