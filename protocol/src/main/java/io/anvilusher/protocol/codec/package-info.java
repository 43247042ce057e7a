/**
 * Bytes of the records in the log and of the folded state.
 */
@NullMarked
package io.anvilusher.protocol.codec;

import org.jspecify.annotations.NullMarked;
