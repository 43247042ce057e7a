/**
 * The process beside each backend server.
 */
@NullMarked
package io.anvilusher.sidecar;

import org.jspecify.annotations.NullMarked;
