package io.anvilusher.gateway.limit;

import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.Function;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.limit.PermitGrant;
import io.anvilusher.logic.limit.PermitWish;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LimitMessagesTests {

	private static final ToldLimit LIMIT = new ToldLimit("desk@1@10.0.0.1:80", OptionalDouble.of(8.4), 250, 7, -20);

	private static final ToldLimit END = new ToldLimit("desk@1@10.0.0.1:80", OptionalDouble.empty(), 0, 7, 30);

	private static final PermitWish WISH = new PermitWish("d\u00e9sk@1@10.0.0.1:80", 7, -5, 3, 2);

	private static final PermitGrant GRANT = new PermitGrant("desk@1@10.0.0.1:80", 9, 7, 12, 3, 4, 120);

	@Test
	public void messagesAreReadAsTheyWereWritten() {
		assertEquals(LimitMessages.decodeLimit(LimitMessages.encode(LIMIT)), Optional.of(LIMIT));
		assertEquals(LimitMessages.decodeLimit(LimitMessages.encode(END)), Optional.of(END));
		assertEquals(LimitMessages.decodeWish(LimitMessages.encode(WISH)), Optional.of(WISH));
		assertEquals(LimitMessages.decodeGrant(LimitMessages.encode(GRANT)), Optional.of(GRANT));
	}

	@DataProvider
	public Object[][] messages() {
		Function<byte[], Optional<?>> limits = LimitMessages::decodeLimit;
		Function<byte[], Optional<?>> wishes = LimitMessages::decodeWish;
		Function<byte[], Optional<?>> grants = LimitMessages::decodeGrant;
		return new Object[][] { { LimitMessages.encode(LIMIT), limits }, { LimitMessages.encode(END), limits },
				{ LimitMessages.encode(WISH), wishes }, { LimitMessages.encode(GRANT), grants } };
	}

	/** Guards against an exception on the traffic thread. */
	@Test(dataProvider = "messages")
	public void messageOfAnotherLengthOrVersionIsNotReadable(byte[] message, Function<byte[], Optional<?>> decode) {
		for (int length = 0; length < message.length; length++) {
			assertEquals(decode.apply(Arrays.copyOf(message, length)), Optional.empty());
		}
		assertEquals(decode.apply(Arrays.copyOf(message, message.length + 1)), Optional.empty());
		byte[] newer = message.clone();
		newer[0]++;
		assertEquals(decode.apply(newer), Optional.empty());
	}

	/** Guards against an exception, or a number that nobody can mean. */
	@Test(dataProvider = "messages")
	public void damagedMessagesHaveOnlyValuesInRange(byte[] message, Function<byte[], Optional<?>> decode) {
		Random random = new Random(1);
		for (int round = 0; round < 20_000; round++) {
			byte[] damaged = message.clone();
			for (int count = random.nextInt(1, 4); count > 0; count--) {
				damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
			}
			decode.apply(damaged);
			LimitMessages.decodeLimit(damaged).ifPresent((limit) -> {
				assertTrue(limit.limitPerS().orElse(0) >= 0 && Double.isFinite(limit.limitPerS().orElse(0)));
				assertTrue(limit.ageMs() >= 0);
			});
			LimitMessages.decodeWish(damaged).ifPresent((wish) -> assertTrue(wish.permits() <= 1_000_000));
			LimitMessages.decodeGrant(damaged).ifPresent((grant) -> assertTrue(grant.permits() <= 1_000_000));
		}
	}

	@Test
	public void randomBytesAreNoMessage() {
		Random random = new Random(2);
		for (int round = 0; round < 20_000; round++) {
			byte[] payload = new byte[random.nextInt(80)];
			random.nextBytes(payload);
			LimitMessages.decodeLimit(payload);
			LimitMessages.decodeWish(payload);
			LimitMessages.decodeGrant(payload);
		}
	}

	@Test
	public void identifierThatIsTooLongIsNotTold() {
		assertTrue(LimitMessages.isUsable("d".repeat(600)));
		assertFalse(LimitMessages.isUsable("d".repeat(601)));
		assertFalse(LimitMessages.isUsable(""));
	}

}
