/**
 * The routing table of a gateway, which maps requests to services and keys to workspaces.
 */
@NullMarked
package io.anvilusher.model.routing;

import org.jspecify.annotations.NullMarked;
