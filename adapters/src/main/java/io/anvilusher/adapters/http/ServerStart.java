package io.anvilusher.adapters.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.process.MonotonicClock;

/**
 * Starts HTTP servers whose address may still be in use, by the process before or as the
 * local port of a connection.
 */
public final class ServerStart {

	private static final Logger LOGGER = LoggerFactory.getLogger(ServerStart.class);

	private static final long RETRY_INTERVAL_MS = 100;

	private ServerStart() {
	}

	/**
	 * Starts a server; waits while its address is in use.
	 * @param <S> type of the server
	 * @param start starts the server; called for each attempt
	 * @param address the address that the server listens at
	 * @param maxWaitMs longest wait for the address, in ms
	 * @return the running server
	 * @throws BindException if the address is still in use after that time
	 * @throws IOException if the thread is interrupted while it waits
	 */
	public static <S> S whenAddressIsFree(Supplier<S> start, InetSocketAddress address, long maxWaitMs)
			throws IOException {
		long startMs = MonotonicClock.SYSTEM.nowMs();
		boolean logged = false;
		while (true) {
			try {
				return start.get();
			}
			catch (RuntimeException ex) {
				if (!(ex.getCause() instanceof BindException bindFailure)) {
					throw ex;
				}
				if (MonotonicClock.SYSTEM.nowMs() - startMs >= maxWaitMs) {
					throw failure(address, maxWaitMs, bindFailure);
				}
				if (!logged) {
					LOGGER.warn("Cannot listen at {}: {}; retrying for {} ms", address, bindFailure.getMessage(),
							maxWaitMs);
					logged = true;
				}
			}
			pause();
		}
	}

	private static BindException failure(InetSocketAddress address, long maxWaitMs, BindException cause) {
		BindException failure = new BindException(
				"Cannot listen at " + address + " within " + maxWaitMs + " ms: " + cause.getMessage());
		failure.initCause(cause);
		return failure;
	}

	private static void pause() throws InterruptedIOException {
		try {
			TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new InterruptedIOException("Interrupted while an address to listen at was in use");
		}
	}

}
