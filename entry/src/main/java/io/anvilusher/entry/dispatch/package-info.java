/**
 * Queues requests, selects backend servers for them and tracks their attempts.
 */
@NullMarked
package io.anvilusher.entry.dispatch;

import org.jspecify.annotations.NullMarked;
