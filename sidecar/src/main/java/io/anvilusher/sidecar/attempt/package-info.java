/**
 * Runs attempts on the backend server and reports their outcomes to the entries.
 */
@NullMarked
package io.anvilusher.sidecar.attempt;

import org.jspecify.annotations.NullMarked;
