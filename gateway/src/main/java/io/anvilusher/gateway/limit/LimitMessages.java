package io.anvilusher.gateway.limit;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;

import io.anvilusher.logic.limit.PermitGrant;
import io.anvilusher.logic.limit.PermitWish;

/**
 * Encodes the messages about limits of servers: a version, the identifier of the server
 * and numbers of fixed size. A message that is shorter, longer or has a value that cannot
 * be meant is decoded to empty.
 */
final class LimitMessages {

	private static final byte VERSION = 1;

	/** Largest identifier of a server; a datagram holds any message with it. */
	private static final int MAX_ID_BYTES = 600;

	/** Largest number of permits or calls that a message can mean. */
	private static final int MAX_COUNT = 1_000_000;

	/** Longest time that a message can mean: a day. */
	private static final long MAX_TIME_MS = 86_400_000;

	private LimitMessages() {
	}

	/**
	 * Returns whether the limit of a server can be told to other gateways.
	 * @param serverId identifier of the server
	 * @return whether it fits into a message
	 */
	static boolean isUsable(String serverId) {
		return !serverId.isEmpty() && serverId.getBytes(StandardCharsets.UTF_8).length <= MAX_ID_BYTES;
	}

	static byte[] encode(ToldLimit limit) {
		return write(limit.serverId(), (out) -> {
			out.writeDouble(limit.limitPerS().orElse(Double.NaN));
			out.writeLong(Math.min(MAX_TIME_MS, limit.ageMs()));
			out.writeLong(limit.run());
			out.writeLong(limit.sentAtMs());
		});
	}

	static byte[] encode(PermitWish wish) {
		return write(wish.serverId(), (out) -> {
			out.writeLong(wish.run());
			out.writeLong(wish.sequence());
			out.writeInt(wish.permits());
			out.writeInt(wish.calls());
		});
	}

	static byte[] encode(PermitGrant grant) {
		return write(grant.serverId(), (out) -> {
			out.writeLong(grant.keeperRun());
			out.writeLong(grant.gatewayRun());
			out.writeLong(grant.answeredSequence());
			out.writeInt(grant.permits());
			out.writeInt(grant.supporters());
			out.writeLong(Math.min(MAX_TIME_MS, grant.nextPermitInMs()));
		});
	}

	static Optional<ToldLimit> decodeLimit(byte[] payload) {
		return read(payload, (in) -> {
			String serverId = readId(in);
			double limitPerS = in.getDouble();
			return new ToldLimit(serverId,
					Double.isNaN(limitPerS) ? OptionalDouble.empty() : OptionalDouble.of(limitPerS),
					inRange(in.getLong(), MAX_TIME_MS), inRange(in.getLong(), Long.MAX_VALUE), in.getLong());
		});
	}

	static Optional<PermitWish> decodeWish(byte[] payload) {
		return read(payload, (in) -> new PermitWish(readId(in), inRange(in.getLong(), Long.MAX_VALUE), in.getLong(),
				(int) inRange(in.getInt(), MAX_COUNT), (int) inRange(in.getInt(), MAX_COUNT)));
	}

	static Optional<PermitGrant> decodeGrant(byte[] payload) {
		return read(payload,
				(in) -> new PermitGrant(readId(in), inRange(in.getLong(), Long.MAX_VALUE),
						inRange(in.getLong(), Long.MAX_VALUE), in.getLong(), (int) inRange(in.getInt(), MAX_COUNT),
						(int) inRange(in.getInt(), MAX_COUNT), inRange(in.getLong(), MAX_TIME_MS)));
	}

	private static byte[] write(String serverId, Content content) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		byte[] id = serverId.getBytes(StandardCharsets.UTF_8);
		try {
			out.writeByte(VERSION);
			out.writeShort(id.length);
			out.write(id);
			content.writeTo(out);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("A message about a limit could not be written to memory", ex);
		}
		return bytes.toByteArray();
	}

	private static <T> Optional<T> read(byte[] payload, Function<ByteBuffer, T> content) {
		ByteBuffer in = ByteBuffer.wrap(payload);
		try {
			if (in.get() != VERSION) {
				return Optional.empty();
			}
			T message = content.apply(in);
			return in.hasRemaining() ? Optional.empty() : Optional.of(message);
		}
		catch (BufferUnderflowException | IllegalArgumentException ex) {
			// The receiver counts messages that are not readable.
			return Optional.empty();
		}
	}

	private static String readId(ByteBuffer in) {
		int length = in.getShort();
		if (length <= 0 || length > MAX_ID_BYTES) {
			throw new IllegalArgumentException("identifier of a server has %d bytes".formatted(length));
		}
		byte[] id = new byte[length];
		in.get(id);
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(id)).toString();
		}
		catch (CharacterCodingException ex) {
			throw new IllegalArgumentException("identifier of a server is not valid UTF-8", ex);
		}
	}

	private static long inRange(long value, long max) {
		if (value < 0 || value > max) {
			throw new IllegalArgumentException("value %d is not from 0 to %d".formatted(value, max));
		}
		return value;
	}

	/**
	 * Writes what follows the identifier of the server.
	 */
	@FunctionalInterface
	private interface Content {

		void writeTo(DataOutputStream out) throws IOException;

	}

}
