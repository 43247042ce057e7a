/**
 * The HTTP servers for callers and for the load balancer's readiness check.
 */
@NullMarked
package io.anvilusher.gateway.http;

import org.jspecify.annotations.NullMarked;
