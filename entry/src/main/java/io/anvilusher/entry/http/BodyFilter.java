package io.anvilusher.entry.http;

import java.io.IOException;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;

import io.anvilusher.model.request.RefusalReason;

/**
 * Reads the request body asynchronously and refuses bodies above a maximum size.
 */
final class BodyFilter implements RequestFilter {

	private final long maxBodyBytes;

	BodyFilter(long maxBodyBytes) {
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		HttpServerExchange http = exchange.http();
		if (http.getRequestContentLength() > this.maxBodyBytes) {
			refuseTooLarge(exchange);
			return;
		}
		Receiver receiver = http.getRequestReceiver();
		receiver.setMaxBufferSize((int) this.maxBodyBytes);
		receiver.receiveFullBytes((read, bytes) -> {
			exchange.setBody(bytes);
			read.dispatch(SameThreadExecutor.INSTANCE, () -> chain.next(exchange));
		}, (read, failure) -> read.dispatch(SameThreadExecutor.INSTANCE, () -> onFailure(exchange, failure)));
	}

	private void onFailure(CallerExchange exchange, IOException failure) {
		if (failure instanceof Receiver.RequestToLargeException) {
			refuseTooLarge(exchange);
			return;
		}
		exchange.http().setPersistent(false);
		exchange.refuse(RefusalReason.CALLER_TOO_SLOW, "The body could not be read to its end");
	}

	private void refuseTooLarge(CallerExchange exchange) {
		exchange.http().setPersistent(false);
		exchange.refuse(RefusalReason.BODY_TOO_LARGE, "The body may have " + this.maxBodyBytes + " bytes");
	}

}
