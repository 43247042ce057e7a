package io.anvilusher.adapters.http;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import io.undertow.Undertow;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests {@link ServerStart}.
 */
public class ServerStartTests {

	private static long threads() {
		return Thread.getAllStackTraces()
			.keySet()
			.stream()
			.filter((thread) -> thread.getName().startsWith("XNIO") && thread.isAlive())
			.count();
	}

	private static Undertow started(Undertow server) {
		server.start();
		return server;
	}

	@Test
	public void namesTheAddressThatStaysInUseAndLeavesNoThreads() throws IOException, InterruptedException {
		try (ServerSocket user = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			InetSocketAddress address = new InetSocketAddress("127.0.0.1", user.getLocalPort());
			long before = threads();
			BindException failure = expectThrows(BindException.class,
					() -> ServerStart.whenAddressIsFree(() -> started(Undertow.builder()
						.setIoThreads(1)
						.setWorkerThreads(1)
						.addHttpListener(address.getPort(), "127.0.0.1")
						.build()), address, 500));
			assertTrue(failure.getMessage().contains("127.0.0.1:" + address.getPort()), failure.getMessage());
			Thread.sleep(300);
			assertEquals(threads(), before);
		}
	}

}
