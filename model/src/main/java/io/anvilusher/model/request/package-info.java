/**
 * Requests, attempts, idempotency claims and their outcomes.
 */
@NullMarked
package io.anvilusher.model.request;

import org.jspecify.annotations.NullMarked;
