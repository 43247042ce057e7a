/**
 * Usage limits of workspaces over all gateways: admission of requests and the messages
 * with which gateways divide the limits.
 */
@NullMarked
package io.anvilusher.gateway.allowance;

import org.jspecify.annotations.NullMarked;
