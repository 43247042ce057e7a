package io.anvilusher.logic.allowance;

/**
 * A grant to be sent.
 *
 * @param gateway name of the gateway to which it is sent; may be the sending one
 * @param grant the grant
 */
public record OutgoingGrant(String gateway, AllowanceGrant grant) {

}
