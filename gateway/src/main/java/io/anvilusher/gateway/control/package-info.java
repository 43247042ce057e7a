/**
 * Control tasks that run apart from the request traffic: following tables of the store,
 * usage reports, and the roles of model engines.
 */
@NullMarked
package io.anvilusher.gateway.control;

import org.jspecify.annotations.NullMarked;
