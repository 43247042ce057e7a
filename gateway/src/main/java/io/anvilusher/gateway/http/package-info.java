/**
 * The interface for callers.
 */
@NullMarked
package io.anvilusher.gateway.http;

import org.jspecify.annotations.NullMarked;
