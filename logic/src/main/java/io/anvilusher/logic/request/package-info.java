/**
 * Parses response streams and checks that responses are complete.
 */
@NullMarked
package io.anvilusher.logic.request;

import org.jspecify.annotations.NullMarked;
