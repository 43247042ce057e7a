/**
 * VMs and backend servers as they are seen at a moment.
 */
@NullMarked
package io.anvilusher.model.fleet;

import org.jspecify.annotations.NullMarked;
