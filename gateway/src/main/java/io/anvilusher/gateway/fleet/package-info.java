/**
 * The backend servers to which a gateway sends requests.
 */
@NullMarked
package io.anvilusher.gateway.fleet;

import org.jspecify.annotations.NullMarked;
