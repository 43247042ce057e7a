package io.anvilusher.verification;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that no booking runs twice, and none that was refused as not run, while sidecars,
 * entries, the service and the platform's log fail. A random generator with a fixed seed
 * chooses the faults. A booking with an even number is sent again by its caller with the
 * same idempotency key until it is answered, at most {@link #MAX_SENDS} times; one with
 * an odd number is sent once.
 */
public class BookingFaultTests {

	private static final int BOOKINGS = 20_000;

	private static final int CALLERS = 48;

	private static final long SEED = 20261204;

	private static final int MAX_SENDS = 12;

	private static final List<String> ENTRIES = List.of("entry-a", "entry-b");

	private static final List<String> SERVERS = List.of("booking-1", "booking-2", "booking-3");

	private final Set<String> answered = ConcurrentHashMap.newKeySet();

	private final Set<String> refusedNotRun = ConcurrentHashMap.newKeySet();

	private final AtomicInteger unknownOutcomes = new AtomicInteger();

	private final AtomicInteger nextBooking = new AtomicInteger();

	private Deployment deployment;

	private String key;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		for (String server : SERVERS) {
			this.deployment.startPlainService(server, "ro-central-a", "booking", 2);
		}
		for (String entry : ENTRIES) {
			this.deployment.startEntry(entry, "ro-central-a");
		}
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grantKey("paddock-gate");
		for (String entry : ENTRIES) {
			this.deployment.awaitServers(entry, SERVERS.size());
		}
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private void runCaller(int caller) {
		SplittableRandom random = new SplittableRandom(SEED + caller);
		for (int booking = this.nextBooking.getAndIncrement(); booking < BOOKINGS; booking = this.nextBooking
			.getAndIncrement()) {
			book(booking, random);
		}
	}

	private void book(int booking, SplittableRandom random) {
		String family = "family-" + booking;
		int sends = (booking % 2 == 0) ? MAX_SENDS : 1;
		for (int send = 0; send < sends; send++) {
			String outcome = send(family, ENTRIES.get(random.nextInt(ENTRIES.size())));
			if (outcome.equals("answered")) {
				this.answered.add(family);
				return;
			}
			if (outcome.equals("not_run") && sends == 1) {
				this.refusedNotRun.add(family);
			}
			if (outcome.equals("unknown")) {
				this.unknownOutcomes.incrementAndGet();
			}
			sleep(random.nextInt(400));
		}
	}

	private String send(String family, String entry) {
		HttpRequest request = Deployment
			.request(this.deployment.entryUrl(entry) + "/bookings", "X-Api-Key", this.key, "Idempotency-Key", family)
			.timeout(Duration.ofSeconds(15))
			.POST(HttpRequest.BodyPublishers.ofString("{\"family\":\"" + family + "\"}"))
			.build();
		try {
			HttpResponse<String> response = this.deployment.client()
				.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() == 201) {
				assertTrue(response.body().contains("\"" + family + "\""), response.body());
				return "answered";
			}
			return response.headers().firstValue("x-run-state").orElse("unknown");
		}
		catch (IOException ex) {
			return "unknown";
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void injectFaults(AtomicBoolean stop) throws IOException {
		SplittableRandom random = new SplittableRandom(SEED);
		while (!stop.get()) {
			sleep(300 + random.nextInt(300));
			injectRandomFault(random);
		}
	}

	private void injectRandomFault(SplittableRandom random) throws IOException {
		String server = SERVERS.get(random.nextInt(SERVERS.size()));
		String entry = ENTRIES.get(random.nextInt(ENTRIES.size()));
		switch (random.nextInt(8)) {
			case 0 -> {
				this.deployment.process(server).kill();
				this.deployment.startSidecar(server, "ro-central-a", "booking");
			}
			case 1 -> this.deployment.restartPlainService(server, 2);
			case 2 -> {
				this.deployment.process(entry).kill();
				this.deployment.startEntry(entry, "ro-central-a");
			}
			case 3 -> pause(server, 500 + random.nextInt(2500));
			case 4 -> pause(entry, 500 + random.nextInt(2500));
			case 5 -> this.deployment.setPlatformFaults("{\"lose_append_answers\":" + (1 + random.nextInt(40)) + "}");
			case 6 -> {
				this.deployment.setPlatformFaults("{\"log_down\":true}");
				sleep(500 + random.nextInt(4500));
				this.deployment.setPlatformFaults("{\"log_down\":false}");
			}
			default -> {
				this.deployment.setPlatformFaults("{\"slow_ms\":" + random.nextInt(400) + "}");
				sleep(1000);
				this.deployment.setPlatformFaults("{\"slow_ms\":0}");
			}
		}
	}

	private void pause(String vm, long pauseMs) throws IOException {
		this.deployment.process(vm).pause();
		sleep(pauseMs);
		this.deployment.process(vm).resume();
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Test
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.KILL, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.PAUSE, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.PAUSE, step = Step.IDEMPOTENCY_CLAIM)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.LOG_OUTAGE, step = Step.IDEMPOTENCY_CLAIM)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.LATE_MESSAGE, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.ENGINE_CRASH, step = Step.ATTEMPT_STARTED)
	@Proves(promise = Promise.AT_MOST_ONCE, fault = Fault.KILL, step = Step.ANSWER_END)
	@Proves(promise = Promise.NOT_RUN_IS_TRUE, fault = Fault.KILL, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.NOT_RUN_IS_TRUE, fault = Fault.PAUSE, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.NOT_RUN_IS_TRUE, fault = Fault.LOG_OUTAGE, step = Step.REQUEST_RECEIVED)
	@Proves(promise = Promise.NOT_RUN_IS_TRUE, fault = Fault.LATE_MESSAGE, step = Step.ATTEMPT_DISPATCHED)
	@Proves(promise = Promise.NOT_RUN_IS_TRUE, fault = Fault.ENGINE_CRASH, step = Step.ATTEMPT_STARTED)
	public void noBookingRunsTwiceAndNoneThatWasRefusedAsNotRun() throws Exception {
		AtomicBoolean stop = new AtomicBoolean();
		CompletableFuture<Void> faults = CompletableFuture.runAsync(() -> {
			try {
				injectFaults(stop);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		List<CompletableFuture<Void>> callers = IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.runAsync(() -> runCaller(caller),
					(task) -> new Thread(task, "caller").start()))
			.toList();
		callers.forEach(CompletableFuture::join);
		stop.set(true);
		faults.join();
		List<String> executions = Files.readAllLines(this.deployment.executionsFile());
		Set<String> executed = new HashSet<>(executions);
		System.out.println("bookings " + BOOKINGS + ", executed " + executions.size() + ", answered "
				+ this.answered.size() + ", refused as not run " + this.refusedNotRun.size() + ", unknown outcomes "
				+ this.unknownOutcomes.get());
		assertEquals(executions.size(), executed.size(), "some bookings ran more than once");
		assertTrue(executed.containsAll(this.answered), "some answered bookings did not run");
		assertTrue(this.refusedNotRun.stream().noneMatch(executed::contains),
				"a booking that was refused as not run did run");
		assertTrue(!this.refusedNotRun.isEmpty(), "no booking was refused as not run, so that promise was not tested");
		assertTrue(this.answered.size() > BOOKINGS / 2, "too few bookings answered: " + this.answered.size());
	}

}
