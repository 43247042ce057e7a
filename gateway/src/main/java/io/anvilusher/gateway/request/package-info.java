/**
 * Handles each request in progress: selects a server, sends the request, retries it and
 * passes the response on to the caller.
 */
@NullMarked
package io.anvilusher.gateway.request;

import org.jspecify.annotations.NullMarked;
