/**
 * Limits that servers name, kept over all gateways by messages between them.
 */
@NullMarked
package io.anvilusher.gateway.limit;

import org.jspecify.annotations.NullMarked;
