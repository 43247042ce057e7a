package io.anvilusher.logic.limit;

/**
 * A wish to be sent.
 *
 * @param gateway name of the gateway that receives it; may be this gateway
 * @param wish the wish
 */
public record OutgoingWish(String gateway, PermitWish wish) {

}
