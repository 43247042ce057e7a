package io.anvilusher.adapters.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.model.request.HttpHeader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against requests that reach a server although their call was reported as not
 * sent, was cancelled or has ended, in each order of connecting, writing, answering,
 * cancelling and resetting.
 */
public class ClientCallScheduleTests {

	private static final int SMALL_BYTES = 9_000;

	/** More than the socket buffers of both sides hold. */
	private static final int LARGE_BYTES = 32 * 1024 * 1024;

	/** Longer than the client waits for a connection. */
	private static final long BUSY_MS = 400;

	/** The kernel sends the first packet of a connection again after 1 s. */
	private static final long LATE_CONNECTION_MS = 1_600;

	private static final int QUIET_MS = 700;

	private static final int CANCEL_MOMENTS = 200;

	private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

	@DataProvider
	public static Object[][] schedules() {
		return Stream.of(Connect.values())
			.flatMap((connect) -> Stream.of(Server.values())
				.flatMap((server) -> Stream.of(Cancel.values())
					.flatMap((cancel) -> Stream.of(SMALL_BYTES, LARGE_BYTES)
						.map((bytes) -> new Schedule(connect, server, cancel, bytes)))))
			.filter(Schedule::isPossible)
			.map((schedule) -> new Object[] { schedule })
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "schedules")
	public void nothingArrivesAfterACallWasNotSentOrHasEnded(Schedule schedule) throws Exception {
		try (StreamingHttpClient client = StreamingHttpClient.create("schedule", 1);
				Peer peer = new Peer(schedule.server())) {
			Recorder recorder = new Recorder(schedule.cancel());
			if (schedule.connect() == Connect.AFTER_TIMEOUT) {
				peer.fillBacklog();
			}
			else if (schedule.connect() == Connect.AT_ONCE || schedule.connect() == Connect.WHILE_THREAD_IS_BUSY) {
				peer.accept();
			}
			start(client, peer, schedule, recorder);
			if (schedule.connect() == Connect.AFTER_TIMEOUT) {
				recorder.ended.await(3, TimeUnit.SECONDS);
				peer.emptyBacklog();
				TimeUnit.MILLISECONDS.sleep(LATE_CONNECTION_MS);
			}
			check(schedule, peer, recorder);
		}
	}

	private static void start(StreamingHttpClient client, Peer peer, Schedule schedule, Recorder recorder)
			throws InterruptedException {
		HttpCall call = new HttpCall("POST", peer.target(schedule.connect()), "/", List.of(),
				new byte[schedule.bodyBytes()], true);
		CountDownLatch started = new CountDownLatch(1);
		client.after(0, () -> {
			RunningCall running = client.start(call, recorder);
			recorder.running.complete(running);
			if (schedule.cancel() == Cancel.BEFORE_OPENING) {
				running.cancel();
				recorder.events.add("cancelled");
			}
			if (schedule.connect() == Connect.WHILE_THREAD_IS_BUSY) {
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BUSY_MS));
			}
			started.countDown();
		});
		assertTrue(started.await(5, TimeUnit.SECONDS));
		if (schedule.cancel() == Cancel.WHILE_WRITING) {
			TimeUnit.MILLISECONDS.sleep(200);
			recorder.cancel();
		}
	}

	private static void check(Schedule schedule, Peer peer, Recorder recorder) throws Exception {
		recorder.ended.await(2, TimeUnit.SECONDS);
		// A connection that is not accepted by now has carried nothing.
		long arrivedBytes = peer.drain();
		boolean opened = peer.accepted.isDone() && !peer.accepted.isCompletedExceptionally();
		String seen = recorder.events + ", " + arrivedBytes + " bytes arrived, connection closed: " + peer.closed;
		Reporter.log(schedule + ": " + seen);
		// Otherwise the case would not show what happens with a connection that opens
		// late.
		assertEquals(opened, schedule.connect() != Connect.REFUSED, seen);
		long ends = recorder.events.stream()
			.filter((event) -> event.startsWith("end") || event.startsWith("failed"))
			.count();
		boolean silent = schedule.server() == Server.SILENT && schedule.cancel() == Cancel.NEVER;
		assertTrue(ends == 1 || (silent && ends == 0), seen);
		if (recorder.events.contains("failed, not sent") || !recorder.events.contains("sending")) {
			assertEquals(arrivedBytes, 0, seen);
		}
		if (schedule.bodyBytes() == LARGE_BYTES && recorder.events.contains("sending") && ends == 1
				&& schedule.server() != Server.ANSWERS) {
			assertTrue(arrivedBytes < LARGE_BYTES, seen);
			assertTrue(peer.closed, seen);
		}
	}

	/** Cancels calls at many moments around the opening of their connections. */
	@Test
	public void nothingArrivesAfterACallWasCancelledAtAnyMomentBeforeItWasSent() throws Exception {
		int unsent = 0;
		try (StreamingHttpClient client = StreamingHttpClient.create("schedule", 1)) {
			for (int moment = 0; moment < CANCEL_MOMENTS; moment++) {
				try (Peer peer = new Peer(Server.SILENT)) {
					peer.accept();
					Recorder recorder = new Recorder(Cancel.NEVER);
					RunningCall running = client.start(new HttpCall("POST", peer.target(Connect.AT_ONCE), "/",
							List.of(), new byte[SMALL_BYTES], true), recorder);
					LockSupport.parkNanos(moment * moment * 100L);
					running.cancel();
					assertTrue(recorder.ended.await(2, TimeUnit.SECONDS), recorder.events.toString());
					long arrivedBytes = peer.drain();
					boolean sent = recorder.events.contains("sending");
					unsent += sent ? 0 : 1;
					assertEquals(recorder.events,
							sent ? List.of("sending", "failed, sent") : List.of("failed, not sent"));
					assertTrue(sent || arrivedBytes == 0, arrivedBytes + " bytes arrived");
					assertTrue(peer.closed);
				}
			}
		}
		Reporter.log(unsent + " of " + CANCEL_MOMENTS + " calls were cancelled before they were sent");
		assertTrue(unsent > 0 && unsent < CANCEL_MOMENTS, "unsent " + unsent);
	}

	private enum Connect {

		AT_ONCE,

		/** Opens while the thread of the call is busy, beyond the time-out. */
		WHILE_THREAD_IS_BUSY,

		/** Opens after the time-out. */
		AFTER_TIMEOUT,

		REFUSED

	}

	private enum Server {

		/** Reads nothing until the call has ended. */
		SILENT,

		/** Answers once it has read the whole request. */
		ANSWERS,

		/** Answers completely once it has read the head. */
		ANSWERS_EARLY,

		/** Answers once it has read the head, and never ends the answer. */
		ANSWERS_EARLY_WITHOUT_END,

		/** Closes the connection once it has read the head. */
		CLOSES_EARLY,

		/** Resets the connection once it has read the head. */
		RESETS_EARLY

	}

	private enum Cancel {

		NEVER,

		BEFORE_OPENING,

		ON_SENDING,

		WHILE_WRITING,

		ON_HEAD

	}

	private record Schedule(Connect connect, Server server, Cancel cancel, int bodyBytes) {

		boolean isPossible() {
			boolean opens = this.connect == Connect.AT_ONCE || this.connect == Connect.WHILE_THREAD_IS_BUSY;
			if (!opens) {
				return this.server == Server.SILENT && this.bodyBytes == SMALL_BYTES
						&& (this.cancel == Cancel.NEVER || this.cancel == Cancel.BEFORE_OPENING);
			}
			boolean answers = this.server == Server.ANSWERS || this.server == Server.ANSWERS_EARLY
					|| this.server == Server.ANSWERS_EARLY_WITHOUT_END;
			boolean ends = this.server != Server.SILENT && this.server != Server.ANSWERS_EARLY_WITHOUT_END;
			return switch (this.cancel) {
				case NEVER -> ends || this.server == Server.SILENT;
				case BEFORE_OPENING, ON_SENDING -> this.server == Server.SILENT;
				case WHILE_WRITING -> !ends;
				case ON_HEAD -> answers;
			};
		}

		@Override
		public String toString() {
			return "connection " + this.connect + ", server " + this.server + ", cancelled " + this.cancel + ", "
					+ this.bodyBytes + " bytes";
		}

	}

	/**
	 * The server's side of the call.
	 */
	private static final class Peer implements AutoCloseable {

		private final Server server;

		private final ServerSocket listener;

		private final List<Socket> fillers = new ArrayList<>();

		private final CompletableFuture<Socket> accepted = new CompletableFuture<>();

		private volatile long readBytes;

		private volatile long headBytes;

		private volatile int announcedBytes;

		private volatile boolean closed;

		Peer(Server server) throws IOException {
			this.server = server;
			this.listener = new ServerSocket();
			this.listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
		}

		URI target(Connect connect) throws InterruptedException {
			if (connect == Connect.REFUSED) {
				close();
			}
			return URI.create("http://127.0.0.1:" + this.listener.getLocalPort());
		}

		// Connections wait for the second try of their client once the backlog is full.
		void fillBacklog() throws IOException {
			for (int count = 0; count < 4; count++) {
				Socket filler = new Socket();
				this.fillers.add(filler);
				try {
					filler.connect(this.listener.getLocalSocketAddress(), 100);
				}
				catch (SocketTimeoutException ex) {
					return;
				}
			}
		}

		void emptyBacklog() throws IOException {
			for (Socket filler : this.fillers) {
				filler.close();
			}
			accept();
		}

		void accept() {
			Thread thread = new Thread(this::serve, "peer");
			thread.setDaemon(true);
			thread.start();
		}

		private void serve() {
			try {
				Socket socket = this.listener.accept();
				// A filler sends nothing and is closed.
				while (!this.fillers.isEmpty() && isFiller(socket)) {
					socket.close();
					socket = this.listener.accept();
				}
				answer(socket);
				this.accepted.complete(socket);
			}
			catch (IOException ex) {
				this.accepted.completeExceptionally(ex);
			}
		}

		private boolean isFiller(Socket socket) {
			return this.fillers.stream().anyMatch((filler) -> filler.getLocalPort() == socket.getPort());
		}

		private void answer(Socket socket) throws IOException {
			if (this.server == Server.SILENT) {
				return;
			}
			readHead(socket.getInputStream());
			switch (this.server) {
				case ANSWERS -> {
					readBody(socket.getInputStream());
					write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
				}
				case ANSWERS_EARLY -> write(socket, "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno");
				case ANSWERS_EARLY_WITHOUT_END -> write(socket, "HTTP/1.1 503 Full\r\nContent-Length: 20\r\n\r\nno");
				case CLOSES_EARLY -> socket.close();
				default -> {
					socket.setSoLinger(true, 0);
					socket.close();
				}
			}
		}

		private static void write(Socket socket, String answer) throws IOException {
			socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
		}

		private void readHead(InputStream input) throws IOException {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = input.read();
				if (next < 0) {
					return;
				}
				head.append((char) next);
				this.headBytes++;
			}
			int start = head.indexOf("content-length: ");
			start = (start < 0) ? head.indexOf("Content-Length: ") : start;
			this.announcedBytes = Integer.parseInt(head.substring(start + 16, head.indexOf("\r\n", start)).trim());
		}

		private void readBody(InputStream input) throws IOException {
			byte[] buffer = new byte[64 * 1024];
			while (this.readBytes < this.announcedBytes) {
				int count = input.read(buffer);
				if (count < 0) {
					return;
				}
				this.readBytes += count;
			}
		}

		/**
		 * Reads what has arrived and still arrives.
		 * @return bytes of the head, or of the body if there were more, that arrived
		 */
		long drain() throws Exception {
			Socket socket;
			try {
				socket = this.accepted.get(QUIET_MS, TimeUnit.MILLISECONDS);
			}
			catch (TimeoutException | ExecutionException ex) {
				return Math.max(this.headBytes, this.readBytes);
			}
			if (socket.isClosed()) {
				this.closed = true;
				return Math.max(this.headBytes, this.readBytes);
			}
			socket.setSoTimeout(QUIET_MS);
			byte[] buffer = new byte[64 * 1024];
			try {
				int count = socket.getInputStream().read(buffer);
				while (count >= 0) {
					this.readBytes += count;
					count = socket.getInputStream().read(buffer);
				}
				this.closed = true;
			}
			catch (SocketTimeoutException ex) {
				this.closed = false;
			}
			catch (IOException ex) {
				this.closed = true;
			}
			return Math.max(this.headBytes, this.readBytes);
		}

		@Override
		public void close() throws InterruptedException {
			try {
				this.listener.close();
				for (Socket filler : this.fillers) {
					filler.close();
				}
				if (this.accepted.isDone() && !this.accepted.isCompletedExceptionally()) {
					this.accepted.join().close();
				}
			}
			catch (IOException ex) {
				throw new AssertionError(ex);
			}
		}

	}

	/**
	 * Records the events of a call, and cancels it at one of them.
	 */
	private static final class Recorder implements HttpCallListener {

		private final CompletableFuture<RunningCall> running = new CompletableFuture<>();

		private final List<String> events = new CopyOnWriteArrayList<>();

		private final CountDownLatch ended = new CountDownLatch(1);

		private final Cancel cancel;

		Recorder(Cancel cancel) {
			this.cancel = cancel;
		}

		void cancel() {
			this.events.add("cancelled");
			this.running.join().cancel();
		}

		@Override
		public void onSending() {
			this.events.add("sending");
			if (this.cancel == Cancel.ON_SENDING) {
				cancel();
			}
		}

		@Override
		public void onHead(int status, List<HttpHeader> headers, boolean framed) {
			this.events.add("head " + status);
			if (this.cancel == Cancel.ON_HEAD) {
				cancel();
			}
		}

		@Override
		public void onData(ByteBuffer data) {
			this.events.add("data");
		}

		@Override
		public void onEnd() {
			this.events.add("end");
			this.ended.countDown();
		}

		@Override
		public void onFailure(boolean sent, IOException cause) {
			this.events.add(sent ? "failed, sent" : "failed, not sent");
			this.ended.countDown();
		}

	}

}
