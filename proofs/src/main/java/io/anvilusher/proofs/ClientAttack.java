package io.anvilusher.proofs;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * What the clients of an attack send.
 */
public enum ClientAttack {

	/** Bodies of legal size, sent at once, that stop short of their end. */
	BODY_IN_ONE_PIECE {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return stoppingShort(path, headers, "Content-Length: " + BODY_BYTES, "x".repeat(PART_BYTES),
					ALL_AT_ONCE_BYTES);
		}
	},

	/** The same in small pieces. */
	BODY_IN_SMALL_PIECES {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return stoppingShort(path, headers, "Content-Length: " + BODY_BYTES, "x".repeat(PART_BYTES),
					2 * PART_BYTES);
		}
	},

	/** The same in chunks. */
	BODY_IN_CHUNKS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return stoppingShort(path, headers, "Transfer-Encoding: chunked", chunk(PART_BYTES), ALL_AT_ONCE_BYTES);
		}
	},

	/** Chunks of one byte. */
	BODY_IN_TINY_CHUNKS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return stoppingShort(path, headers, "Transfer-Encoding: chunked", chunk(1), ALL_AT_ONCE_BYTES);
		}
	},

	/** Small bodies of which the last byte is missing. */
	SMALL_BODY_STOPPING_SHORT {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path, headers, "Content-Length: 100\r\n") + "x".repeat(99), false);
		}
	},

	/** Bodies far over the limit. */
	ENDLESS_BODY {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return new ClientCrowd.Script(
					bytes(request("POST", path, headers, "Content-Length: " + 100L * BODY_BYTES + "\r\n")),
					bytes("x".repeat(PART_BYTES)), Integer.MAX_VALUE, ALL_AT_ONCE_BYTES, false);
		}
	},

	/** Chunks without end. */
	ENDLESS_CHUNKS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return new ClientCrowd.Script(bytes(request("POST", path, headers, "Transfer-Encoding: chunked\r\n")),
					bytes(chunk(PART_BYTES)), Integer.MAX_VALUE, ALL_AT_ONCE_BYTES, false);
		}
	},

	/** Many short header fields and an incomplete body. */
	SHORT_HEADERS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path, headers, "Content-Length: 9\r\n" + fields(190, "h%d:\r\n")), false);
		}
	},

	/** More header fields than are accepted. */
	TOO_MANY_HEADERS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path, headers, "Content-Length: 9\r\n" + fields(1_500, "h%d:\r\n")), false);
		}
	},

	/** Many short query parameters and an incomplete body. */
	SHORT_PARAMETERS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path + "?" + fields(990, "%d&"), headers, "Content-Length: 9\r\n"), false);
		}
	},

	/** Many short entries of a list and an incomplete body. */
	SHORT_LIST_ENTRIES {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path, headers,
					headers.listStart() + fields(1_800, "%d:1,") + "a:1\r\nContent-Length: 9\r\n"), false);
		}
	},

	/** Many keys and an incomplete body. */
	MANY_KEYS {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path, headers,
					"Content-Length: 9\r\n" + fields(190, "Authorization: Bearer k%d\r\n")), false);
		}
	},

	/** Heads of almost 1 MB without an end. */
	LARGE_UNFINISHED_HEAD {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			String field = "X-Pad: " + "x".repeat(5_000) + "\r\n";
			return once("GET " + path + " HTTP/1.1\r\nHost: h.example\r\n" + field.repeat(190), false);
		}
	},

	/** Heads of legal size without an end. */
	UNFINISHED_LEGAL_HEAD {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Pad: " + "x".repeat(HEAD_BYTES), false);
		}
	},

	/** Heads that arrive byte by byte. */
	SLOW_HEAD {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return new ClientCrowd.Script(bytes("GET " + path + " HTTP/1.1\r\nX-Pad: "), bytes("x"), Integer.MAX_VALUE,
					1, false);
		}
	},

	/** Connections on which nothing is sent. */
	SILENT_CONNECTION {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once("", false);
		}
	},

	/** Connections that are kept open after a response. */
	IDLE_AFTER_A_RESPONSE {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("GET", path, headers, ""), true);
		}
	},

	/** Requests that are sent ahead by clients that do not read. */
	PIPELINED_UNREAD {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return new ClientCrowd.Script(new byte[0], bytes(request("GET", path, headers, "").repeat(10)), 2_000,
					ALL_AT_ONCE_BYTES, false);
		}
	},

	/** Responses that are not read. */
	RESPONSE_UNREAD {
		@Override
		public ClientCrowd.Script script(String path, Headers headers) {
			return once(request("POST", path, headers, "Content-Length: 0\r\n"), false);
		}
	};

	private static final int BODY_BYTES = 4 * 1024 * 1024;

	private static final int HEAD_BYTES = 16_000;

	private static final int PART_BYTES = 1_024;

	private static final int ALL_AT_ONCE_BYTES = 256 * 1024;

	/**
	 * Returns what each client sends.
	 * @param path path of the requests
	 * @param headers headers of the requests
	 * @return what is sent
	 */
	public abstract ClientCrowd.Script script(String path, Headers headers);

	private static ClientCrowd.Script stoppingShort(String path, Headers headers, String framing, String part,
			int bytesPerTurn) {
		return new ClientCrowd.Script(bytes(request("POST", path, headers, framing + "\r\n")), bytes(part),
				BODY_BYTES / PART_BYTES - 1, bytesPerTurn, false);
	}

	private static ClientCrowd.Script once(String text, boolean reads) {
		return new ClientCrowd.Script(bytes(text), new byte[0], 0, ALL_AT_ONCE_BYTES, reads);
	}

	private static String request(String method, String path, Headers headers, String furtherHeaders) {
		return method + " " + path + " HTTP/1.1\r\n" + headers.lines() + furtherHeaders + "\r\n";
	}

	private static String chunk(int sizeBytes) {
		return Integer.toHexString(sizeBytes) + "\r\n" + "x".repeat(sizeBytes) + "\r\n";
	}

	private static String fields(int count, String format) {
		return IntStream.range(0, count).mapToObj(format::formatted).collect(Collectors.joining());
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * Headers of the requests of an attack.
	 *
	 * @param lines header lines of each request, such as host and key
	 * @param listStart start of a header line whose value is a list, with any lines that
	 * must come before it
	 */
	public record Headers(String lines, String listStart) {

	}

}
