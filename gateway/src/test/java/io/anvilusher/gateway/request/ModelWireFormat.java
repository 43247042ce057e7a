package io.anvilusher.gateway.request;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import io.undertow.util.HeaderMap;

import io.anvilusher.adapters.http.HttpCall;
import io.anvilusher.gateway.wire.ForwardingInfo;
import io.anvilusher.gateway.wire.KvStep;
import io.anvilusher.gateway.wire.RequestHead;
import io.anvilusher.gateway.wire.ResponseHead;
import io.anvilusher.gateway.wire.WireFormat;
import io.anvilusher.model.request.HttpHeader;

/**
 * Format of a deployment in which a header names the {@link EngineAnswer}.
 */
final class ModelWireFormat implements WireFormat {

	static final String REQUEST_ID = "request";

	private static final String STEP = "step";

	private static final String ANSWER = "answer";

	private static final String FREE = "DELETE";

	@Override
	public String requestId(HeaderMap headers) {
		return REQUEST_ID;
	}

	@Override
	public RequestHead readRequestHead(HeaderMap headers) {
		throw new UnsupportedOperationException("requests are not read from headers");
	}

	@Override
	public List<HttpHeader> forwardedHeaders(HeaderMap callerHeaders, ForwardingInfo info) {
		return List.of(new HttpHeader(STEP, info.step().getClass().getSimpleName()));
	}

	static boolean isPrefill(HttpCall call) {
		return call.headers().contains(new HttpHeader(STEP, KvStep.Prefill.class.getSimpleName()));
	}

	static boolean isFree(HttpCall call) {
		return call.method().equals(FREE);
	}

	static List<HttpHeader> headers(EngineAnswer answer) {
		return List.of(new HttpHeader(ANSWER, answer.name()));
	}

	@Override
	public ResponseHead readResponseHead(int status, List<HttpHeader> headers) {
		EngineAnswer answer = EngineAnswer.valueOf(headers.get(0).value());
		return new ResponseHead(status, answer.ownId() ? REQUEST_ID : "other", true, answer.claimsNotRun(), false,
				OptionalLong.empty(), OptionalDouble.empty(), false, false, Optional.empty(), List.of());
	}

	@Override
	public Optional<String> readHandle(byte[] body) {
		return (body.length > 0) ? Optional.of("handle") : Optional.empty();
	}

	@Override
	public HttpCall freeHandle(String source, String handle) {
		return HttpCall.of(FREE, URI.create("http://" + source), "/" + handle, new byte[0]);
	}

}
