/**
 * Counts of work done for workspaces.
 */
@NullMarked
package io.anvilusher.model.usage;

import org.jspecify.annotations.NullMarked;
