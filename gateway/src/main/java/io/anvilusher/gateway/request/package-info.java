/**
 * Requests under way: placing, sending, repeating, answering.
 */
@NullMarked
package io.anvilusher.gateway.request;

import org.jspecify.annotations.NullMarked;
