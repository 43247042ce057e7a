/**
 * The operator's configuration.
 */
@NullMarked
package io.anvilusher.model.config;

import org.jspecify.annotations.NullMarked;
