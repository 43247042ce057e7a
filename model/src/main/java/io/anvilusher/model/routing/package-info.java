/**
 * The routing table of a gateway: which request goes to which service, and for whom.
 */
@NullMarked
package io.anvilusher.model.routing;

import org.jspecify.annotations.NullMarked;
