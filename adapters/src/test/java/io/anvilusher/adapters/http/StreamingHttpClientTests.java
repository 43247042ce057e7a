package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

import io.anvilusher.model.request.HttpHeader;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link StreamingHttpClient}.
 */
public class StreamingHttpClientTests {

	@Test
	public void closingWithACallInProgressReportsNoError() throws IOException, InterruptedException {
		Logger logger = (Logger) LoggerFactory.getLogger("org.xnio.nio");
		ListAppender<ILoggingEvent> events = new ListAppender<>();
		events.start();
		logger.addAppender(events);
		try (ServerSocket silentServer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
			URI target = URI.create("http://127.0.0.1:" + silentServer.getLocalPort());
			StreamingHttpClient client = StreamingHttpClient.create("closing", 1);
			client.start(HttpCall.of("GET", target, "/", new byte[0]), new IgnoringListener());
			silentServer.accept();
			// The check of the call becomes due while the I/O thread is closing.
			client.after(10, () -> {
				client.close();
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(150));
			});
			TimeUnit.MILLISECONDS.sleep(400);
		}
		finally {
			logger.detachAppender(events);
		}
		assertEquals(events.list.stream().map(ILoggingEvent::getFormattedMessage).toList(), List.of());
	}

	private static final class IgnoringListener implements HttpCallListener {

		@Override
		public void onHead(int status, List<HttpHeader> headers, boolean framed) {
			// The server stays silent.
		}

		@Override
		public void onData(ByteBuffer data) {
			data.position(data.limit());
		}

		@Override
		public void onEnd() {
			// The server stays silent.
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			// Closing the client fails the call.
		}

	}

}
