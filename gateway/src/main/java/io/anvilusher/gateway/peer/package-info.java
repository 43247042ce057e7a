/**
 * Best-effort messages between the gateways of a deployment, and the list of gateways in
 * the store.
 */
@NullMarked
package io.anvilusher.gateway.peer;

import org.jspecify.annotations.NullMarked;
