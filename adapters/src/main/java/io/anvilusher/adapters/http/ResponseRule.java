package io.anvilusher.adapters.http;

import java.util.Locale;

/**
 * The rules of RFC 9110 and RFC 9112 that the bytes of a response must follow. The name
 * in lower case is the label of the counter of malformed responses.
 */
enum ResponseRule {

	/** RFC 9112, section 4. */
	STATUS_LINE("a response begins with \"HTTP/1.1\" or \"HTTP/1.0\", a status from 100 to 599 and a reason"),

	/** RFC 9112, section 2.2. */
	LINE_END("a line ends with CR LF and contains no other CR or LF"),

	/** RFC 9110, section 5.6.2, and RFC 9112, sections 5.1 and 5.2. */
	FIELD_NAME("a field line begins with a token, which a colon follows"),

	/** RFC 9110, section 5.5. */
	FIELD_VALUE("a field value contains no control characters but tabs"),

	/** RFC 9110, section 8.6. */
	CONTENT_LENGTH("Content-Length is a decimal number and the same if it is repeated"),

	/** RFC 9112, section 6.1. */
	TRANSFER_ENCODING("Transfer-Encoding is \"chunked\", once, and only in HTTP/1.1"),

	/** RFC 9112, section 6.3. */
	LENGTH_AND_CODING("a response has no Content-Length beside Transfer-Encoding"),

	/** RFC 9110, section 8.6, and RFC 9112, section 6.1. */
	NO_CONTENT("a response with status 204 announces no body"),

	/** RFC 9112, section 7.1. */
	CHUNK("a chunk is a hexadecimal size, CR LF, that many bytes and CR LF"),

	/** RFC 9112, section 6.3. */
	RESPONSE_END("nothing follows the end of a response but another one"),

	/** RFC 9112, section 9.2. */
	UNREQUESTED("nothing arrives while no request waits for a response");

	private final String text;

	ResponseRule(String text) {
		this.text = text;
	}

	/**
	 * Returns the rule as a sentence for logs and errors.
	 * @return the rule in words
	 */
	String text() {
		return this.text;
	}

	/**
	 * Returns the label of the counter.
	 * @return the name in lower case
	 */
	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
