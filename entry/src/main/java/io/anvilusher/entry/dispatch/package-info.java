/**
 * Sends requests to backend servers and follows their attempts.
 */
@NullMarked
package io.anvilusher.entry.dispatch;

import org.jspecify.annotations.NullMarked;
