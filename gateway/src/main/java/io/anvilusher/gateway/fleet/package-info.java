/**
 * The servers that a gateway knows.
 */
@NullMarked
package io.anvilusher.gateway.fleet;

import org.jspecify.annotations.NullMarked;
