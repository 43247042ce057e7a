/**
 * Clients of the platform's interfaces.
 */
@NullMarked
package io.anvilusher.adapters.platform;

import org.jspecify.annotations.NullMarked;
