/**
 * The VMs that an entry knows and its connections to them.
 */
@NullMarked
package io.anvilusher.entry.fleet;

import org.jspecify.annotations.NullMarked;
