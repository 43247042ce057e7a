/**
 * The platform's list of VMs and the connections of an entry to these VMs.
 */
@NullMarked
package io.anvilusher.entry.fleet;

import org.jspecify.annotations.NullMarked;
