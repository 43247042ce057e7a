/**
 * JSON encoding of the records of the control log and of the folded control state.
 */
@NullMarked
package io.anvilusher.protocol.codec;

import org.jspecify.annotations.NullMarked;
