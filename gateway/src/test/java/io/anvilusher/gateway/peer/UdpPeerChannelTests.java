package io.anvilusher.gateway.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import io.anvilusher.adapters.control.ControlThread;
import io.anvilusher.adapters.metrics.Meters;
import io.anvilusher.adapters.process.MonotonicClock;
import io.anvilusher.gateway.control.TableFollower;
import io.anvilusher.proofs.TestPorts;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/**
 * Tests {@link UdpPeerChannel} with channels on the loopback interface.
 */
public class UdpPeerChannelTests {

	/**
	 * The port claims of {@link TestPorts} are UDP sockets at 127.0.0.1, so the gateways
	 * of the tests use another address of the loopback interface.
	 */
	private static final String LOOPBACK = "127.0.0.2";

	private static final long TIMEOUT_MS = 20_000;

	private final List<Node> nodes = new ArrayList<>();

	private StoreTableStub store;

	@BeforeMethod
	public void start() {
		this.store = new StoreTableStub();
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.nodes.forEach(Node::close);
		this.nodes.clear();
	}

	/** Guards against messages that are lost or attributed to another gateway. */
	@Test
	public void messageArrivesWithTheNameOfItsSender() {
		Node a = activated("a");
		Node b = activated("b");
		await(() -> a.channel.peers().size() == 2 && b.channel.peers().size() == 2);
		assertEquals(a.channel.peers().stream().map(Peer::name).toList(), List.of("a", "b"));
		assertEquals(a.channel.peers().get(1), b.self);
		sendUntilReceived(a, "b", MessageType.ALLOWANCE_REPORT, b, "a:ALLOWANCE_REPORT:hello");
		sendUntilReceived(b, "a", MessageType.ALLOWANCE_GRANT, a, "b:ALLOWANCE_GRANT:hello");
	}

	/**
	 * Guards against a gateway without socket and list that cannot report to itself.
	 */
	@Test
	public void messageToItselfIsDeliveredBeforeActivation() {
		Node a = node("a");
		a.send("a", MessageType.PLACEMENT_REQUEST, "own");
		await(() -> a.received.contains("a:PLACEMENT_REQUEST:own"));
		assertEquals(this.store.calls(), 0);
	}

	/** Guards against store calls of deployments that need no messages. */
	@Test
	public void activationWritesOneEntryHoweverOftenItIsCalled() {
		Node a = activated("a");
		a.channel.activate();
		await(() -> a.channel.peers().size() == 1);
		assertEquals(this.store.writes(), 1);
		assertEquals(this.store.value("a").orElse(""), "{\"address\":\"" + LOOPBACK + ":" + a.self.address().getPort()
				+ "\",\"dataCentre\":\"dc\",\"capacity\":1.5}");
	}

	/**
	 * Guards against messages of other programs, or of a gateway under a false name, that
	 * reach a receiver, and against a datagram after which no more are read.
	 */
	@Test
	public void datagramsThatAreNotOfARegisteredGatewayAreDropped() throws IOException {
		Node a = activated("a");
		Node b = activated("b");
		await(() -> a.channel.peers().size() == 2 && b.channel.peers().size() == 2);
		sendUntilReceived(a, "b", MessageType.ALLOWANCE_REPORT, b, "a:ALLOWANCE_REPORT:hello");
		int before = b.received.size();
		try (DatagramSocket stranger = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0))) {
			byte[] forged = PeerDatagram.encode("a", MessageType.ALLOWANCE_GRANT, new byte[] { 'x' }).orElseThrow();
			byte[] unknown = PeerDatagram.encode("z", MessageType.ALLOWANCE_GRANT, new byte[0]).orElseThrow();
			byte[] version = forged.clone();
			version[0] = 9;
			byte[] type = forged.clone();
			type[1] = 99;
			for (byte[] datagram : List.of(forged, unknown, version, type, new byte[0], new byte[1], new byte[1_201],
					new byte[9_000])) {
				stranger.send(new DatagramPacket(datagram, datagram.length, b.self.address()));
			}
		}
		await(() -> b.dropped("sender_unregistered") == 2 && b.dropped("version") == 1 && b.dropped("type_unknown") == 1
				&& b.dropped("too_short") == 2 && b.dropped("too_large") == 2);
		assertTrue(b.received.stream().skip(before).noneMatch((message) -> message.contains("GRANT")),
				b.received.toString());
		sendUntilReceived(a, "b", MessageType.PLACEMENT_END, b, "a:PLACEMENT_END:hello");
	}

	/** Guards against an exception in a receiver that ends the traffic of the gateway. */
	@Test
	public void exceptionInAReceiverEndsOnlyItsMessage() {
		Node a = activated("a");
		Node b = activated("b");
		await(() -> a.channel.peers().size() == 2 && b.channel.peers().size() == 2);
		b.onThread(() -> b.channel.onMessage(MessageType.PLACEMENT_REPLY, (peer, payload) -> {
			throw new IllegalStateException("test");
		}));
		await(() -> {
			a.send("b", MessageType.PLACEMENT_REPLY, "x");
			return b.dropped("receiver_failed") > 0;
		});
		sendUntilReceived(a, "b", MessageType.ALLOWANCE_REPORT, b, "a:ALLOWANCE_REPORT:hello");
	}

	/**
	 * Guards against an exception on the traffic thread for a message that cannot be
	 * sent.
	 */
	@Test
	public void messagesThatCannotBeSentAreCounted() {
		Node a = activated("a");
		this.store.put("b",
				"{\"address\":\"" + LOOPBACK + ":" + TestPorts.next() + "\",\"dataCentre\":\"dc\",\"capacity\":1}");
		await(() -> a.channel.peers().size() == 2);
		a.send("nobody", MessageType.PLACEMENT_END, "x");
		a.send("b", MessageType.PLACEMENT_END, "x".repeat(1_200));
		a.send("b", MessageType.PLACEMENT_END, "nobody listens there");
		await(() -> a.dropped("peer_unknown") == 1 && a.dropped("too_large") == 1);
	}

	/** Guards against a gateway that stays unknown after its entry was lost. */
	@Test
	public void lostOrReplacedEntryIsWrittenAgain() {
		Node a = activated("a");
		await(() -> a.channel.peers().size() == 1);
		String entry = this.store.value("a").orElseThrow();
		this.store.remove("a");
		await(() -> this.store.value("a").equals(java.util.Optional.of(entry)));
		await(() -> a.channel.peers().size() == 1);
		this.store.put("a", entry.replace("1.5", "3.5"));
		await(() -> this.store.value("a").equals(java.util.Optional.of(entry)));
	}

	/**
	 * Guards against a gateway that never registers because the store failed at first.
	 */
	@Test
	public void registersOnceTheStoreIsAvailable() {
		this.store.setAvailable(false);
		Node a = activated("a");
		await(() -> this.store.calls() >= 2);
		assertTrue(a.channel.peers().isEmpty());
		this.store.setAvailable(true);
		await(() -> a.channel.peers().size() == 1);
	}

	/** Guards against a list that is dropped, or hidden by one entry, in an outage. */
	@Test
	public void listStaysInUseDuringAnOutageAndSkipsUnreadableEntries() {
		this.store.put("odd", "no JSON");
		this.store.put("named", "{\"address\":\"host.example:1\",\"dataCentre\":\"dc\",\"capacity\":1}");
		this.store.put("zero", "{\"address\":\"127.0.0.1:0\",\"dataCentre\":\"dc\",\"capacity\":1}");
		this.store.put("weak", "{\"address\":\"127.0.0.1:1\",\"dataCentre\":\"dc\",\"capacity\":-1}");
		Node a = activated("a");
		Node b = activated("b");
		await(() -> a.channel.peers().size() == 2 && b.channel.peers().size() == 2);
		int calls = this.store.calls();
		this.store.setAvailable(false);
		await(() -> this.store.calls() > calls + 2);
		assertEquals(a.channel.peers().stream().map(Peer::name).toList(), List.of("a", "b"));
		sendUntilReceived(a, "b", MessageType.ALLOWANCE_REPORT, b, "a:ALLOWANCE_REPORT:hello");
	}

	/**
	 * Guards against a removal of the wrong entry: the own one, or one that the gateway
	 * has replaced in the meantime.
	 */
	@Test
	public void removesOnlyTheEntryThatWasSilent() {
		Node a = activated("a");
		this.store.put("b", "{\"address\":\"127.0.0.1:1\",\"dataCentre\":\"dc\",\"capacity\":1}");
		await(() -> a.channel.peers().size() == 2);
		Peer silent = a.channel.peers().get(1);
		this.store.put("b", "{\"address\":\"127.0.0.1:2\",\"dataCentre\":\"dc\",\"capacity\":1}");
		await(() -> !a.channel.peers().get(1).equals(silent));
		a.channel.remove(silent);
		a.channel.remove(a.self);
		Peer restarted = a.channel.peers().get(1);
		a.channel.remove(restarted);
		await(() -> a.channel.peers().equals(List.of(a.self)));
		assertEquals(this.store.writes(), 2);
	}

	/**
	 * Guards against an address in use that delays the other work of the gateway, or that
	 * stays unused after it has become free.
	 */
	@Test
	public void addressInUseIsBoundOnceItIsFree() throws IOException {
		Node a = activated("a");
		Node b = node("b");
		try (DatagramSocket other = new DatagramSocket(b.self.address())) {
			b.channel.activate();
			await(() -> a.channel.peers().size() == 2 && b.channel.peers().size() == 2);
			b.send("a", MessageType.ALLOWANCE_REPORT, "early");
			await(() -> b.dropped("not_sent") == 1);
			assertFalse(a.received.contains("b:ALLOWANCE_REPORT:early"));
			assertTrue(other.isBound());
		}
		sendUntilReceived(a, "b", MessageType.ALLOWANCE_REPORT, b, "a:ALLOWANCE_REPORT:hello");
	}

	private Node node(String name) {
		Node node = new Node(name, this.store);
		this.nodes.add(node);
		return node;
	}

	private Node activated(String name) {
		Node node = node(name);
		node.channel.activate();
		return node;
	}

	// Datagrams may be lost, and the socket of the receiver may not be bound yet.
	private static void sendUntilReceived(Node from, String to, MessageType type, Node receiver, String expected) {
		await(() -> {
			from.send(to, type, "hello");
			return receiver.received.contains(expected);
		});
	}

	private static void await(BooleanSupplier condition) {
		long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > untilNs) {
				fail("Condition was not met within " + TIMEOUT_MS + " ms");
			}
			try {
				TimeUnit.MILLISECONDS.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	/**
	 * A gateway's channel with its threads.
	 */
	private static final class Node implements AutoCloseable {

		private final XnioWorker worker;

		private final ControlThread control = new ControlThread();

		private final Meters meters = new Meters();

		private final List<String> received = new CopyOnWriteArrayList<>();

		private final Peer self;

		private final UdpPeerChannel channel;

		Node(String name, StoreTableStub store) {
			try {
				this.worker = Xnio.getInstance()
					.createWorker(OptionMap.builder()
						.set(Options.WORKER_IO_THREADS, 1)
						.set(Options.THREAD_DAEMON, true)
						.getMap());
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
			this.self = new Peer(name, new InetSocketAddress(LOOPBACK, TestPorts.next()), "dc", 1.5);
			this.channel = new UdpPeerChannel(this.self, store,
					new TableFollower.ControlContext(this.control, MonotonicClock.SYSTEM, this.meters), this.worker);
			onThread(() -> List.of(MessageType.values())
				.forEach((type) -> this.channel.onMessage(type, (peer, payload) -> this.received
					.add(peer + ":" + type + ":" + new String(payload, StandardCharsets.UTF_8)))));
		}

		void send(String to, MessageType type, String text) {
			onThread(() -> this.channel.send(to, type, text.getBytes(StandardCharsets.UTF_8)));
		}

		// Runs a task on the traffic thread, waits for its end and passes its exception
		// on.
		void onThread(Runnable task) {
			CompletableFuture<Void> done = new CompletableFuture<>();
			this.worker.getIoThread().execute(() -> {
				try {
					task.run();
					done.complete(null);
				}
				catch (RuntimeException | Error ex) {
					done.completeExceptionally(ex);
				}
			});
			done.join();
		}

		double dropped(String reason) {
			return this.meters.counter("anvilusher.peer.dropped", "reason", reason).count();
		}

		@Override
		public void close() {
			this.control.close();
			this.worker.shutdownNow();
		}

	}

}
