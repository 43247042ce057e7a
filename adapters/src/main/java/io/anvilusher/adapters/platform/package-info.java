/**
 * Clients of the platform's HTTP interfaces: the control log, the list of VMs, the
 * ordering of backend servers and the usage reports.
 */
@NullMarked
package io.anvilusher.adapters.platform;

import org.jspecify.annotations.NullMarked;
