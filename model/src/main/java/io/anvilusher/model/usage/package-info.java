/**
 * Usage of services by workspaces.
 */
@NullMarked
package io.anvilusher.model.usage;

import org.jspecify.annotations.NullMarked;
