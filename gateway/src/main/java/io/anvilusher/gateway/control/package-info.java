/**
 * What a gateway follows and reports: routing tables, servers, usage.
 */
@NullMarked
package io.anvilusher.gateway.control;

import org.jspecify.annotations.NullMarked;
