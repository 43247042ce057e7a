/**
 * The configuration that the operator publishes.
 */
@NullMarked
package io.anvilusher.model.config;

import org.jspecify.annotations.NullMarked;
