/**
 * Checks on requests and answers.
 */
@NullMarked
package io.anvilusher.logic.request;

import org.jspecify.annotations.NullMarked;
