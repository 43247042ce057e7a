/**
 * VMs and backend servers as last read from the platform or reported by themselves.
 */
@NullMarked
package io.anvilusher.model.fleet;

import org.jspecify.annotations.NullMarked;
