package io.anvilusher.adapters.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link ResponseChecker} with bytes in parts of any size.
 */
public class ResponseCheckerTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private static final int RANDOM_SPLITS = 20;

	private static void check(ResponseChecker checker, String bytes, int partBytes) throws MalformedResponseException {
		byte[] all = bytes.getBytes(StandardCharsets.ISO_8859_1);
		for (int from = 0; from < all.length; from += partBytes) {
			checker.check(ByteBuffer.wrap(all), from, Math.min(all.length, from + partBytes));
		}
	}

	private static ResponseChecker checkerFor(String method) {
		ResponseChecker checker = new ResponseChecker();
		checker.onRequest(method);
		return checker;
	}

	private static List<Integer> partSizes(String bytes) {
		Random random = new Random(bytes.hashCode());
		return Stream
			.concat(Stream.of(1, 2, 3, bytes.length()), random.ints(RANDOM_SPLITS, 1, bytes.length() + 1).boxed())
			.toList();
	}

	@DataProvider
	public Object[][] soundResponses() {
		return new Object[][] { { "GET", OK + "Content-Length: 2\r\n\r\nhi" },
				{ "GET", OK + "Content-Length: 0\r\n\r\n" }, { "GET", OK + "\r\n" },
				{ "GET", OK + "\r\n\u0000\r\n\r\nHTTP" }, { "GET", "HTTP/1.0 200 \r\n\r\nhi" },
				{ "GET", OK + "A:\r\nB: \t\r\nC:\u00e9\u00ff\r\ncontent-LENGTH:\t002 \r\n\r\nhi" },
				{ "GET", OK + "Content-Length: 2\r\nContent-Length: 02\r\n\r\nhi" },
				{ "GET", OK + "Content-Length: 9223372036854775807\r\n\r\nhi" },
				{ "GET", CHUNKED + "2\r\nhi\r\n0\r\n\r\n" }, { "GET", CHUNKED + "0\r\n\r\n" },
				{ "GET", CHUNKED + "00a;x=y\r\n0123456789\r\n1 ;z\r\n\r\r\n000\r\nA: b\r\nC:\r\n\r\n" },
				{ "GET", CHUNKED + "7fffffffffffffff\r\nhi" },
				{ "GET", OK + "transfer-encoding:\tChunked \r\n\r\nFf\r\nhi" },
				{ "GET", "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\n" + OK + "Content-Length: 1\r\n\r\nx" },
				{ "HEAD", OK + "Content-Length: 2\r\n\r\n" }, { "HEAD", CHUNKED }, { "GET", "HTTP/1.1 204 x\r\n\r\n" },
				{ "GET", "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n" },
				{ "GET", "HTTP/1.1 304 x\r\nContent-Length: 2\r\n\r\n" } };
	}

	@Test(dataProvider = "soundResponses")
	public void soundResponseIsAcceptedInPartsOfAnySize(String method, String bytes) throws MalformedResponseException {
		for (int partBytes : partSizes(bytes)) {
			ResponseChecker checker = checkerFor(method);
			check(checker, bytes, partBytes);
			assertFalse(checker.isFollowed());
		}
	}

	@DataProvider
	public Object[][] malformedResponses() {
		return new Object[][] { { "GET", "HTTP/1.1 000 OK\r\n", ResponseRule.STATUS_LINE },
				{ "GET", "HTTP/1.1 600 OK\r\n", ResponseRule.STATUS_LINE },
				{ "GET", "HTTP/2.0 200 OK\r\n", ResponseRule.STATUS_LINE }, { "GET", "\r\n", ResponseRule.STATUS_LINE },
				{ "GET", "HTTP/1.1 200 \u0001\r\n", ResponseRule.STATUS_LINE },
				{ "GET", "HTTP/1.1 200 OK\n", ResponseRule.LINE_END },
				{ "GET", "HTTP/1.1 200 O\rK\r\n", ResponseRule.LINE_END },
				{ "GET", OK + "A: b\n", ResponseRule.LINE_END }, { "GET", OK + "A: b\rc", ResponseRule.LINE_END },
				{ "GET", OK + "\n", ResponseRule.FIELD_NAME }, { "GET", OK + "\rA", ResponseRule.LINE_END },
				{ "GET", OK + " A: b", ResponseRule.FIELD_NAME },
				{ "GET", OK + "A: b\r\n\tc", ResponseRule.FIELD_NAME }, { "GET", OK + ": b", ResponseRule.FIELD_NAME },
				{ "GET", OK + "A : b", ResponseRule.FIELD_NAME }, { "GET", OK + "A@: b", ResponseRule.FIELD_NAME },
				{ "GET", OK + "\u00e9: b", ResponseRule.FIELD_NAME }, { "GET", OK + "A\r\n", ResponseRule.FIELD_NAME },
				{ "GET", OK + "A: \u0000", ResponseRule.FIELD_VALUE },
				{ "GET", OK + "A: \u007f", ResponseRule.FIELD_VALUE },
				{ "GET", OK + "Content-Length: +2\r\n", ResponseRule.CONTENT_LENGTH },
				{ "GET", OK + "Content-Length: \r\n", ResponseRule.CONTENT_LENGTH },
				{ "GET", OK + "Content-Length: 2, 2\r\n", ResponseRule.CONTENT_LENGTH },
				{ "GET", OK + "Content-Length: 2 2\r\n", ResponseRule.CONTENT_LENGTH },
				{ "GET", OK + "Content-Length: 9223372036854775808\r\n", ResponseRule.CONTENT_LENGTH },
				{ "GET", OK + "Content-Length: 2\r\nContent-Length: 3\r\n", ResponseRule.CONTENT_LENGTH },
				{ "HEAD", OK + "Content-Length: x\r\n", ResponseRule.CONTENT_LENGTH },
				{ "GET", OK + "Transfer-Encoding: \r\n", ResponseRule.TRANSFER_ENCODING },
				{ "GET", OK + "Transfer-Encoding: chunke\r\n", ResponseRule.TRANSFER_ENCODING },
				{ "GET", OK + "Transfer-Encoding: chunked, gzip\r\n", ResponseRule.TRANSFER_ENCODING },
				{ "GET", OK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
						ResponseRule.TRANSFER_ENCODING },
				{ "GET", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", ResponseRule.TRANSFER_ENCODING },
				{ "GET", OK + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", ResponseRule.LENGTH_AND_CODING },
				{ "GET", OK + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", ResponseRule.LENGTH_AND_CODING },
				{ "GET", CHUNKED + "x", ResponseRule.CHUNK }, { "GET", CHUNKED + "\r\n", ResponseRule.CHUNK },
				{ "GET", CHUNKED + "2 \r\n", ResponseRule.CHUNK }, { "GET", CHUNKED + "2;\u0000", ResponseRule.CHUNK },
				{ "GET", CHUNKED + "8000000000000000", ResponseRule.CHUNK },
				{ "GET", CHUNKED + "2\r\nhix", ResponseRule.CHUNK },
				{ "GET", CHUNKED + "2\r\nhi\n", ResponseRule.CHUNK }, { "GET", CHUNKED + "2\n", ResponseRule.CHUNK },
				{ "GET", CHUNKED + "0\r\nA : b", ResponseRule.FIELD_NAME },
				{ "GET", CHUNKED + "0\r\n A: b", ResponseRule.FIELD_NAME },
				{ "GET", CHUNKED + "0\r\nA: \u0000", ResponseRule.FIELD_VALUE },
				{ "GET", "HTTP/1.1 100 \r\nA@: b\r\n\r\n", ResponseRule.FIELD_NAME },
				{ "GET", "HTTP/1.1 100 \r\n\r\nhi", ResponseRule.STATUS_LINE },
				{ "GET", OK + "Content-Length: 2\r\n\r\nhix", ResponseRule.RESPONSE_END },
				{ "GET", OK + "Content-Length: 2\r\n\r\nhi\r\n", ResponseRule.RESPONSE_END },
				{ "GET", OK + "Content-Length: 2\r\n\r\nhiHTTP/2", ResponseRule.RESPONSE_END },
				{ "GET", OK + "Content-Length: 0\r\n\r\nx", ResponseRule.RESPONSE_END },
				{ "GET", CHUNKED + "0\r\n\r\nx", ResponseRule.RESPONSE_END },
				{ "GET", "HTTP/1.1 204 x\r\n\r\nhi", ResponseRule.RESPONSE_END },
				{ "GET", "HTTP/1.1 204 x\r\nContent-Length: 2\r\n\r\n", ResponseRule.NO_CONTENT },
				{ "GET", "HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n", ResponseRule.NO_CONTENT },
				{ "GET", "HTTP/1.1 304 x\r\nTransfer-Encoding: chunked\r\n\r\n0", ResponseRule.RESPONSE_END } };
	}

	@Test(dataProvider = "malformedResponses")
	public void malformedResponseIsRejectedInPartsOfAnySize(String method, String bytes, ResponseRule rule) {
		for (int partBytes : partSizes(bytes)) {
			ResponseChecker checker = checkerFor(method);
			try {
				check(checker, bytes, partBytes);
			}
			catch (MalformedResponseException ex) {
				assertEquals(ex.rule(), rule, bytes);
				continue;
			}
			throw new AssertionError("accepted in parts of " + partBytes + " bytes: " + bytes);
		}
	}

	@Test
	public void responseThatFollowsIsToldFromTheRestOfABody() throws MalformedResponseException {
		String bytes = OK + "Content-Length: 2\r\n\r\nhi" + OK + "Content-Length: 2\r\n\r\nhi";
		for (int partBytes : partSizes(bytes)) {
			ResponseChecker checker = checkerFor("GET");
			check(checker, bytes, partBytes);
			assertTrue(checker.isFollowed());
		}
	}

	@Test
	public void bodyOfAResponseToHeadIsNoPartOfIt() throws MalformedResponseException {
		String bytes = OK + "Content-Length: 9\r\n\r\nany bytes";
		for (int partBytes : partSizes(bytes)) {
			ResponseChecker checker = checkerFor("HEAD");
			check(checker, bytes, partBytes);
			assertTrue(checker.isFollowed());
		}
	}

	@Test
	public void bytesOnAnIdleConnectionAreRejected() throws MalformedResponseException {
		ResponseChecker checker = checkerFor("GET");
		check(checker, OK + "Content-Length: 0\r\n\r\n", 7);
		checker.onIdle();
		assertThrows(MalformedResponseException.class, () -> check(checker, OK, 1));
	}

	@Test
	public void bytesOnAnAbandonedConnectionAreIgnored() throws MalformedResponseException {
		ResponseChecker checker = checkerFor("GET");
		check(checker, OK, 1);
		checker.onAbandoned();
		check(checker, "\u0000anything", 3);
	}

	@Test
	public void nextResponseIsCheckedFromItsBeginning() throws MalformedResponseException {
		ResponseChecker checker = checkerFor("HEAD");
		check(checker, CHUNKED, 5);
		checker.onIdle();
		checker.onRequest("GET");
		check(checker, OK + "Content-Length: 3\r\n\r\nabc", 4);
		assertFalse(checker.isFollowed());
	}

	@Test
	public void excerptShowsTheWholeLineEscapedAndCut() {
		ResponseChecker checker = checkerFor("GET");
		assertThrows(MalformedResponseException.class,
				() -> check(checker, OK + "A: b\r\nX\u0001 \\\u00e9: c\r\nD: e\r\n\r\n", 200));
		assertEquals(checker.line(), "X\\x01 \\x5c\\xe9: c");
		ResponseChecker other = checkerFor("GET");
		assertThrows(MalformedResponseException.class, () -> check(other, OK + "X@" + "a".repeat(200), 500));
		assertEquals(other.line(), "X@" + "a".repeat(78) + "...");
	}

}
