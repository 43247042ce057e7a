/**
 * JSON with comments, read with the place of each value so that mistakes can be named.
 */
@NullMarked
package io.anvilusher.adapters.json;

import org.jspecify.annotations.NullMarked;
