package io.anvilusher.model.request;

/**
 * An HTTP header of a request or response.
 *
 * @param name name of the header
 * @param value value of the header
 */
public record HttpHeader(String name, String value) {

}
