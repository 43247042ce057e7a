/**
 * The sidecar: the process that runs next to each backend server, forwards requests to it
 * and reports its load and state to the entries.
 */
@NullMarked
package io.anvilusher.sidecar;

import org.jspecify.annotations.NullMarked;
