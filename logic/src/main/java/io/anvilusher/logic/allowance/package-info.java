/**
 * Keeps the use of each workspace within its limit, summed over all gateways of a
 * deployment. The design is described in docs/design/workspace-allowances.md.
 */
@NullMarked
package io.anvilusher.logic.allowance;

import org.jspecify.annotations.NullMarked;
