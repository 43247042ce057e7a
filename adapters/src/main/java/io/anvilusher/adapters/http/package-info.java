/**
 * HTTP client calls, and the parts of HTTP servers that serve callers, on top of
 * Undertow.
 */
@NullMarked
package io.anvilusher.adapters.http;

import org.jspecify.annotations.NullMarked;
