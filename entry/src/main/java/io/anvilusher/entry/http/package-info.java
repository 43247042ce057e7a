/**
 * The HTTP server for callers: the filters that check a request and the writer of its
 * response.
 */
@NullMarked
package io.anvilusher.entry.http;

import org.jspecify.annotations.NullMarked;
