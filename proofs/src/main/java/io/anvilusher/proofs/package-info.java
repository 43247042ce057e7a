/**
 * Builds the page of proofs from the tests of a run: which promise was shown to hold,
 * under which fault and at which step. Also hands out ports to tests.
 */
@NullMarked
package io.anvilusher.proofs;

import org.jspecify.annotations.NullMarked;
