/**
 * The gateway process.
 */
@NullMarked
package io.anvilusher.gateway;

import org.jspecify.annotations.NullMarked;
