/**
 * The records of the control log and the facts that they contain.
 */
@NullMarked
package io.anvilusher.model.fact;

import org.jspecify.annotations.NullMarked;
