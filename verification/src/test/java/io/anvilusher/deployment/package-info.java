/**
 * Starts the product's processes and the stand-ins on the loopback interface.
 */
@NullMarked
package io.anvilusher.deployment;

import org.jspecify.annotations.NullMarked;
