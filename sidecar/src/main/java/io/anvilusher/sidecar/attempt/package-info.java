/**
 * Runs attempts on the backend server and tells what became of them.
 */
@NullMarked
package io.anvilusher.sidecar.attempt;

import org.jspecify.annotations.NullMarked;
