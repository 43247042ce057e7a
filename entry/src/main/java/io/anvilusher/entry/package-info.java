/**
 * The entry process, which accepts requests of callers, and the commands for operators.
 */
@NullMarked
package io.anvilusher.entry;

import org.jspecify.annotations.NullMarked;
