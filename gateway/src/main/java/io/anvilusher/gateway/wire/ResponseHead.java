package io.anvilusher.gateway.wire;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.anvilusher.model.request.HttpHeader;

/**
 * The values read from the head of a server's response.
 *
 * @param status HTTP status
 * @param attemptId identifier of the attempt that the response belongs to; empty if the
 * response does not say
 * @param signed whether the response carries the server's signature
 * @param notRun whether the server states that it neither ran the request nor will run it
 * @param leaving whether the server announces that it is leaving
 * @param retryAfterMs time after which the server is to be sent requests again, in ms;
 * empty if the response does not say
 * @param limitPerS requests per second that the server takes from all gateways together;
 * empty if the response names no limit that is valid
 * @param limitInvalid whether the response names a limit that is not valid, which says
 * nothing about the limit in force
 * @param encoded whether the response has a content encoding
 * @param load requests at the server; empty if the response does not say
 * @param callerHeaders headers that are passed on to the caller
 */
public record ResponseHead(int status, String attemptId, boolean signed, boolean notRun, boolean leaving,
		OptionalLong retryAfterMs, OptionalDouble limitPerS, boolean limitInvalid, boolean encoded,
		Optional<LoadReport> load, List<HttpHeader> callerHeaders) {

	public ResponseHead {
		callerHeaders = List.copyOf(callerHeaders);
	}

	/**
	 * Returns whether the status is a success status.
	 * @return whether it is from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	/**
	 * Returns whether another server's response can be continued with the body of this
	 * one.
	 * @param begun the response whose body is incomplete
	 * @return whether both have the same status and media type
	 */
	public boolean continues(ResponseHead begun) {
		return this.status == begun.status && mediaType().equals(begun.mediaType());
	}

	private String mediaType() {
		return this.callerHeaders.stream()
			.filter((header) -> header.name().equalsIgnoreCase("Content-Type"))
			.map((header) -> header.value().split(";", 2)[0].trim().toLowerCase(Locale.ROOT))
			.findFirst()
			.orElse("");
	}

	/**
	 * The load that a server reports.
	 *
	 * @param running number of running requests
	 * @param waiting number of queued requests
	 * @param relativeTimePercent time that work takes on the server's machine at this
	 * moment, in percent of the usual; empty if the server does not report it
	 */
	public record LoadReport(int running, int waiting, OptionalInt relativeTimePercent) {

	}

}
