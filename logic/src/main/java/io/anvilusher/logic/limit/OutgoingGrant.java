package io.anvilusher.logic.limit;

/**
 * A grant to be sent.
 *
 * @param gateway name of the gateway that receives it; may be this gateway
 * @param grant the grant
 */
public record OutgoingGrant(String gateway, PermitGrant grant) {

}
