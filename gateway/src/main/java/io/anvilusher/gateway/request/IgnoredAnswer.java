package io.anvilusher.gateway.request;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.anvilusher.adapters.http.HttpCallListener;
import io.anvilusher.model.request.AnswerHeader;

/**
 * Listens to a call whose answer changes nothing. Its failure is logged.
 */
enum IgnoredAnswer implements HttpCallListener {

	/** The only listener. */
	INSTANCE;

	private static final Logger LOGGER = LoggerFactory.getLogger(IgnoredAnswer.class);

	@Override
	public void onHead(int status, List<AnswerHeader> headers, boolean framed) {
		if (status >= 300) {
			LOGGER.info("A KV cache was not freed: status {}", status);
		}
	}

	@Override
	public void onData(ByteBuffer data) {
		data.position(data.limit());
	}

	@Override
	public void onEnd() {
		// The server has freed the KV cache.
	}

	@Override
	public void onFailure(boolean sent, IOException cause) {
		LOGGER.info("A KV cache was not freed: {}; its engine drops it after a while", cause.getMessage());
	}

}
