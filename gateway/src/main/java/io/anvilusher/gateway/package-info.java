/**
 * The gateway process: accepts callers' requests and sends them directly to backend
 * servers.
 */
@NullMarked
package io.anvilusher.gateway;

import org.jspecify.annotations.NullMarked;
