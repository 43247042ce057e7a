package io.anvilusher.logic.allowance;

/**
 * A report to be sent.
 *
 * @param gateway name of the gateway to which it is sent; may be the sending one
 * @param report the report
 */
public record OutgoingReport(String gateway, AllowanceReport report) {

}
