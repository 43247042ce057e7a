package io.anvilusher.gateway.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link PeerDatagram}.
 */
public class PeerDatagramTests {

	/** Guards against a format that loses the sender, the type or the payload. */
	@Test
	public void everyTypeIsDecodedAsItWasEncoded() {
		Arrays.stream(MessageType.values()).forEach((type) -> {
			byte[] datagram = PeerDatagram.encode("gateway-ü", type, new byte[] { 1, -1, 0 }).orElseThrow();
			PeerDatagram.Decoded.Message message = (PeerDatagram.Decoded.Message) PeerDatagram
				.decode(ByteBuffer.wrap(datagram));
			assertEquals(message.sender(), "gateway-ü");
			assertEquals(message.type(), type);
			assertEquals(message.payload(), new byte[] { 1, -1, 0 });
		});
	}

	/** Guards against a limit that a sender and a receiver take differently. */
	@Test
	public void largestPayloadIsAcceptedAndALargerOneIsNot() {
		int maxBytes = PeerDatagram.maxPayloadBytes("g");
		byte[] datagram = PeerDatagram.encode("g", MessageType.ALLOWANCE_REPORT, new byte[maxBytes]).orElseThrow();
		assertEquals(datagram.length, 1_200);
		assertTrue(PeerDatagram.decode(ByteBuffer.wrap(datagram)) instanceof PeerDatagram.Decoded.Message);
		assertTrue(PeerDatagram.encode("g", MessageType.ALLOWANCE_REPORT, new byte[maxBytes + 1]).isEmpty());
	}

	/** Guards against a name whose length does not fit into its byte. */
	@Test
	public void nameOfMoreThan255BytesIsNotEncoded() {
		assertTrue(PeerDatagram.encode("g".repeat(255), MessageType.PLACEMENT_END, new byte[0]).isPresent());
		assertFalse(PeerDatagram.encode("g".repeat(256), MessageType.PLACEMENT_END, new byte[0]).isPresent());
		assertFalse(PeerDatagram.encode("", MessageType.PLACEMENT_END, new byte[0]).isPresent());
	}

	@DataProvider
	public Object[][] unusable() {
		return new Object[][] { { new byte[0], DropReason.TOO_SHORT }, { new byte[] { 1, 1 }, DropReason.TOO_SHORT },
				{ new byte[] { 1, 1, 0 }, DropReason.TOO_SHORT }, { new byte[] { 1, 1, 2, 'g' }, DropReason.TOO_SHORT },
				{ new byte[] { 1, 1, -1, 'g' }, DropReason.TOO_SHORT },
				{ new byte[] { 2, 1, 1, 'g' }, DropReason.VERSION },
				{ new byte[] { 0, 1, 1, 'g' }, DropReason.VERSION },
				{ new byte[] { 1, 0, 1, 'g' }, DropReason.TYPE_UNKNOWN },
				{ new byte[] { 1, -1, 1, 'g' }, DropReason.TYPE_UNKNOWN }, { new byte[1_201], DropReason.TOO_LARGE } };
	}

	/**
	 * Guards against a datagram of another program that throws or passes as a message.
	 */
	@Test(dataProvider = "unusable")
	public void unusableDatagramIsRejected(byte[] datagram, DropReason reason) {
		assertEquals(PeerDatagram.decode(ByteBuffer.wrap(datagram)), new PeerDatagram.Decoded.Unusable(reason));
	}

}
