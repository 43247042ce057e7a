/**
 * Workspace keys.
 */
@NullMarked
package io.anvilusher.model.key;

import org.jspecify.annotations.NullMarked;
