/**
 * Small stand-ins for the outside systems that the product talks to, one process each.
 */
@NullMarked
package io.anvilusher.standin;

import org.jspecify.annotations.NullMarked;
