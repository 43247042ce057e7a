package io.anvilusher.gateway.suspect;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.anvilusher.logic.suspect.CrashObservation;
import io.anvilusher.model.request.PromptPart;

/**
 * What a request has in common with other requests that may crash a server: the shared
 * parts of its prompt, and the request itself when it is sent again. Each of these
 * subjects is identified by a short text.
 */
public final class RequestSubjects {

	/** First characters of the identifier of a whole request. */
	static final String REQUEST = "request:";

	/** First characters of the identifier of a part of prompts. */
	static final String PART = "part:";

	/** Callers choose the identifiers of parts; longer ones are replaced by a hash. */
	private static final int MAX_PART_ID_CHARS = 64;

	private static final int HASH_BYTES = 16;

	/** Of a longer body, only the length and the beginning are hashed. */
	private static final int MAX_HASHED_BYTES = 64 * 1024;

	private final List<PromptPart> sharedParts;

	private final String workspace;

	private final String path;

	private final byte[] body;

	/**
	 * Creates the subjects of a request.
	 * @param sharedParts parts of its prompt that other requests may have in common
	 * @param workspace workspace of the caller; empty if there is none
	 * @param path path and query
	 * @param body the body
	 */
	public RequestSubjects(List<PromptPart> sharedParts, String workspace, String path, byte[] body) {
		this.sharedParts = List.copyOf(sharedParts);
		this.workspace = workspace;
		this.path = path;
		this.body = body;
	}

	/**
	 * Returns the identifiers of the shared parts.
	 * @return the identifiers in the order of the parts
	 */
	List<String> parts() {
		return this.sharedParts.stream().map((part) -> PART + bounded(part.id())).toList();
	}

	/**
	 * Returns the identifiers of all subjects with their positions in the prompt.
	 * @return the depths of the parts, from 0, and {@link CrashObservation#REQUEST_DEPTH}
	 * for the request
	 */
	Map<String, Integer> depths() {
		List<String> parts = parts();
		Map<String, Integer> depths = new HashMap<>();
		IntStream.range(0, parts.size()).forEach((depth) -> depths.putIfAbsent(parts.get(depth), depth));
		depths.put(request(), CrashObservation.REQUEST_DEPTH);
		return depths;
	}

	private static String bounded(String id) {
		return (id.length() <= MAX_PART_ID_CHARS) ? id : hash(id.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the identifier of the request, which is the same when the caller sends it
	 * again.
	 * @return hash of workspace, path and beginning of the body
	 */
	String request() {
		byte[] hashedBody = (this.body.length <= MAX_HASHED_BYTES) ? this.body
				: Arrays.copyOf(this.body, MAX_HASHED_BYTES);
		return REQUEST
				+ hash(this.workspace.getBytes(StandardCharsets.UTF_8), this.path.getBytes(StandardCharsets.UTF_8),
						Integer.toString(this.body.length).getBytes(StandardCharsets.UTF_8), hashedBody);
	}

	/**
	 * Returns those of the subjects that are in a set.
	 * @param named the set
	 * @return identifiers of parts and of the request
	 */
	List<String> in(Set<String> named) {
		if (named.isEmpty()) {
			return List.of();
		}
		boolean namesRequests = named.stream().anyMatch((subject) -> subject.startsWith(REQUEST));
		return Stream.concat(parts().stream(), namesRequests ? Stream.of(request()) : Stream.empty())
			.filter(named::contains)
			.toList();
	}

	private static String hash(byte[]... contents) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (byte[] content : contents) {
				digest.update(content);
				digest.update((byte) 0);
			}
			return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Every Java runtime provides SHA-256", ex);
		}
	}

}
