/**
 * Which engines read prompts and which generate.
 */
@NullMarked
package io.anvilusher.logic.role;

import org.jspecify.annotations.NullMarked;
