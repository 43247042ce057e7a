package io.anvilusher.gateway.allowance;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Puts the parts of messages together. A message with a lost part is dropped, because a
 * workspace that it does not list would count as unused.
 */
final class MessageAssembler {

	/** Incomplete messages that are kept of each sender; the newest ones. */
	private static final int MAX_INCOMPLETE = 4;

	private final Map<String, Deque<Incomplete>> incompleteBySender = new HashMap<>();

	/**
	 * Adds a part.
	 * @param sender name of the gateway that sent it
	 * @param part the part
	 * @return the message if this part completes it
	 */
	Optional<AllowanceMessage> add(String sender, MessagePart part) {
		if (part.count() == 1) {
			return Optional.of(new AllowanceMessage(part.head(), part.amounts()));
		}
		Deque<Incomplete> incomplete = this.incompleteBySender.computeIfAbsent(sender, (name) -> new ArrayDeque<>());
		Incomplete message = incomplete.stream().filter((known) -> known.matches(part)).findFirst().orElseGet(() -> {
			Incomplete started = new Incomplete(part);
			incomplete.addLast(started);
			return started;
		});
		if (incomplete.size() > MAX_INCOMPLETE) {
			incomplete.removeFirst();
		}
		Optional<AllowanceMessage> complete = message.add(part);
		complete.ifPresent((whole) -> incomplete.remove(message));
		return complete;
	}

	/**
	 * Drops the parts of gateways that have left.
	 * @param senders names of the gateways whose parts are kept
	 */
	void retain(Set<String> senders) {
		this.incompleteBySender.keySet().retainAll(senders);
	}

	/**
	 * A message of which parts are missing.
	 */
	private static final class Incomplete {

		private final List<Long> head;

		private final @Nullable MessagePart[] parts;

		Incomplete(MessagePart first) {
			this.head = first.head();
			this.parts = new MessagePart[first.count()];
		}

		boolean matches(MessagePart part) {
			return this.head.equals(part.head()) && this.parts.length == part.count();
		}

		Optional<AllowanceMessage> add(MessagePart part) {
			this.parts[part.index()] = part;
			return Arrays.stream(this.parts).allMatch(Objects::nonNull)
					? Optional.of(new AllowanceMessage(this.head,
							Arrays.stream(this.parts).flatMap((present) -> present.amounts().stream()).toList()))
					: Optional.empty();
		}

	}

}
