/**
 * What callers meet: the filter chain of a request and the way of its answer.
 */
@NullMarked
package io.anvilusher.entry.http;

import org.jspecify.annotations.NullMarked;
