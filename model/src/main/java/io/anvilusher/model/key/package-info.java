/**
 * The keys by which callers authenticate as a workspace.
 */
@NullMarked
package io.anvilusher.model.key;

import org.jspecify.annotations.NullMarked;
