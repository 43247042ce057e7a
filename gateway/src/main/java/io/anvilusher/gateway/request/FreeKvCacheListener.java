package io.anvilusher.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.model.request.HttpHeader;

/**
 * Listens to a call that frees a KV cache. Nothing depends on its response; a failure is
 * only logged.
 */
enum FreeKvCacheListener implements HttpCallListener {

	/** The only instance; it holds no state. */
	INSTANCE;

	private static final Logger LOGGER = LoggerFactory.getLogger(FreeKvCacheListener.class);

	@Override
	public void onHead(int status, List<HttpHeader> headers, boolean framed) {
		if (status >= 300) {
			LOGGER.info("Request to free a KV cache failed with status {}", status);
		}
	}

	@Override
	public void onData(ByteBuffer data) {
		data.position(data.limit());
	}

	@Override
	public void onEnd() {
		// The engine has freed the KV cache.
	}

	@Override
	public void onFailure(boolean sent, IOException cause) {
		LOGGER.info("Request to free a KV cache failed: {}; the engine drops the cache on its own later",
				cause.getMessage());
	}

}
