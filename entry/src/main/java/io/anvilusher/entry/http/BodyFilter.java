package io.anvilusher.entry.http;

import java.io.IOException;

import io.undertow.server.HttpServerExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.http.BodyBuffer;
import io.anvilusher.adapters.http.CallerDisconnectListener;
import io.anvilusher.adapters.http.RequestBodyReader;
import io.anvilusher.logic.admission.MemoryBudget;
import io.anvilusher.model.request.RefusalReason;

/**
 * Reads the request body asynchronously. It refuses bodies above a maximum size and those
 * for which the process has no memory left.
 */
final class BodyFilter implements RequestFilter {

	private static final Logger LOGGER = LoggerFactory.getLogger(BodyFilter.class);

	private final long maxBodyBytes;

	private final MemoryBudget memory;

	BodyFilter(long maxBodyBytes, MemoryBudget memory) {
		this.maxBodyBytes = maxBodyBytes;
		this.memory = memory;
	}

	@Override
	public void filter(CallerExchange exchange, FilterChain chain) {
		HttpServerExchange http = exchange.http();
		if (http.getRequestContentLength() > this.maxBodyBytes) {
			refuseTooLarge(exchange);
			return;
		}
		RequestBodyReader reader = new RequestBodyReader(http, http.getConnection().getByteBufferPool(), this.memory,
				this.maxBodyBytes, new BodyListener(exchange, chain));
		if (!reader.reserve()) {
			refuseWithoutMemory(exchange);
			return;
		}
		// Otherwise the memory of the body would be held after its connection was closed.
		CallerDisconnectListener.of(http.getConnection()).set(() -> {
			reader.cancel();
			http.endExchange();
		});
		reader.start();
	}

	private void refuseTooLarge(CallerExchange exchange) {
		exchange.http().setPersistent(false);
		exchange.refuse(RefusalReason.BODY_TOO_LARGE, "The body may have " + this.maxBodyBytes + " bytes");
	}

	private static void refuseWithoutMemory(CallerExchange exchange) {
		exchange.http().setPersistent(false);
		exchange.refuse(RefusalReason.MEMORY_EXHAUSTED, "No memory is left for the body");
	}

	private final class BodyListener implements RequestBodyReader.Listener {

		private final CallerExchange exchange;

		private final FilterChain chain;

		BodyListener(CallerExchange exchange, FilterChain chain) {
			this.exchange = exchange;
			this.chain = chain;
		}

		private void clearDisconnectAction() {
			CallerDisconnectListener.of(this.exchange.http().getConnection()).clear();
		}

		@Override
		public void onBody(byte[] body) {
			clearDisconnectAction();
			this.exchange.setBody(body);
			this.chain.next(this.exchange);
		}

		@Override
		public void onRejected(BodyBuffer.Result reason) {
			clearDisconnectAction();
			if (reason == BodyBuffer.Result.TOO_LARGE) {
				refuseTooLarge(this.exchange);
				return;
			}
			refuseWithoutMemory(this.exchange);
		}

		@Override
		public void onFailed(IOException cause) {
			clearDisconnectAction();
			LOGGER.atInfo()
				.addKeyValue("request_id", this.exchange.requestId())
				.addKeyValue("cause", cause.getMessage())
				.setCause(cause.getCause())
				.log("Reading the request body failed; the request is refused");
			this.exchange.http().setPersistent(false);
			this.exchange.refuse(RefusalReason.CALLER_TOO_SLOW, "The body could not be read to its end");
		}

	}

}
