/**
 * The names and formats that a deployment speaks, behind interfaces; an adapter
 * implements them.
 */
@NullMarked
package io.anvilusher.gateway.wire;

import org.jspecify.annotations.NullMarked;
