/**
 * The process that callers reach, and the operator's commands.
 */
@NullMarked
package io.anvilusher.entry;

import org.jspecify.annotations.NullMarked;
