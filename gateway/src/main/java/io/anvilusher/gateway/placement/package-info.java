/**
 * Coordinated placement: gateways ask the coordinator of a placement group where to send
 * a prompt, and report to it what became of the request.
 */
@NullMarked
package io.anvilusher.gateway.placement;

import org.jspecify.annotations.NullMarked;
