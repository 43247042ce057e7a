package io.anvilusher.proofs;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;

/**
 * Tests {@link TestPorts}.
 */
public class TestPortsTests {

	private static final int SOCKETS = 4_000;

	/**
	 * Guards against a port that another socket takes before the test binds it, which
	 * failed whole modules in their fixture.
	 */
	@Test
	public void noSocketIsAssignedAPortThatWasHandedOut() throws IOException {
		Set<Integer> ports = new HashSet<>();
		for (int count = 0; count < SOCKETS; count++) {
			ports.add(TestPorts.next());
		}
		assertEquals(ports.size(), SOCKETS);
		List<ServerSocket> others = new ArrayList<>();
		try {
			for (int count = 0; count < SOCKETS; count++) {
				ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				others.add(other);
				assertFalse(ports.contains(other.getLocalPort()), "port " + other.getLocalPort());
			}
		}
		finally {
			for (ServerSocket other : others) {
				other.close();
			}
		}
	}

	/** Guards against two test processes that start their fixtures at the same port. */
	@Test
	public void portsThatAnotherProcessClaimedAreLeftOut() throws IOException {
		int claimedPort = TestPorts.next() + 1;
		try (DatagramSocket claim = new DatagramSocket(
				new InetSocketAddress(InetAddress.getLoopbackAddress(), claimedPort))) {
			assertNotEquals(TestPorts.next(), claim.getLocalPort());
		}
	}

	@Test
	public void portsInUseAreLeftOut() throws IOException {
		int usedPort = TestPorts.next() + 1;
		try (ServerSocket used = new ServerSocket(usedPort, 1, InetAddress.getLoopbackAddress())) {
			assertNotEquals(TestPorts.next(), used.getLocalPort());
		}
	}

}
