/**
 * Streaming HTTP client calls.
 */
@NullMarked
package io.anvilusher.adapters.http;

import org.jspecify.annotations.NullMarked;
