/**
 * Keeps the requests that all gateways send to a server within the limit that the server
 * names. The design is described in docs/design/server-limits.md.
 */
@NullMarked
package io.anvilusher.logic.limit;

import org.jspecify.annotations.NullMarked;
