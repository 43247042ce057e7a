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
 * Bookings under faults that strike by seed. Even bookings are sent again by their caller
 * with the same idempotency key until they are answered; odd ones are sent once.
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

	private final AtomicInteger unknown = new AtomicInteger();

	private final AtomicInteger next = new AtomicInteger();

	private Deployment deployment;

	private String key;

	@BeforeClass
	public void startDeployment() throws IOException {
		this.deployment = Deployment.start();
		for (String server : SERVERS) {
			this.deployment.startPlain(server, "ro-central-a", "booking", 2);
		}
		for (String entry : ENTRIES) {
			this.deployment.startEntry(entry, "ro-central-a");
		}
		this.deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
		this.key = this.deployment.grant("paddock-gate");
		for (String entry : ENTRIES) {
			this.deployment.awaitServers(entry, SERVERS.size());
		}
	}

	@AfterClass(alwaysRun = true)
	public void stopDeployment() {
		this.deployment.close();
	}

	private void callerLoop(int caller) {
		SplittableRandom random = new SplittableRandom(SEED + caller);
		for (int booking = this.next.getAndIncrement(); booking < BOOKINGS; booking = this.next.getAndIncrement()) {
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
				this.unknown.incrementAndGet();
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
			HttpResponse<String> answer = this.deployment.client().send(request, HttpResponse.BodyHandlers.ofString());
			if (answer.statusCode() == 201) {
				assertTrue(answer.body().contains("\"" + family + "\""), answer.body());
				return "answered";
			}
			return answer.headers().firstValue("x-run-state").orElse("unknown");
		}
		catch (IOException ex) {
			return "unknown";
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void faultLoop(AtomicBoolean stop) throws IOException {
		SplittableRandom random = new SplittableRandom(SEED);
		while (!stop.get()) {
			sleep(300 + random.nextInt(300));
			strike(random);
		}
	}

	private void strike(SplittableRandom random) throws IOException {
		String server = SERVERS.get(random.nextInt(SERVERS.size()));
		String entry = ENTRIES.get(random.nextInt(ENTRIES.size()));
		switch (random.nextInt(8)) {
			case 0 -> {
				this.deployment.process(server).kill();
				this.deployment.startSidecar(server, "ro-central-a", "booking");
			}
			case 1 -> this.deployment.restartPlain(server, 2);
			case 2 -> {
				this.deployment.process(entry).kill();
				this.deployment.startEntry(entry, "ro-central-a");
			}
			case 3 -> pause(server, 500 + random.nextInt(2500));
			case 4 -> pause(entry, 500 + random.nextInt(2500));
			case 5 -> this.deployment.platformFault("{\"lose_append_answers\":" + (1 + random.nextInt(40)) + "}");
			case 6 -> {
				this.deployment.platformFault("{\"log_down\":true}");
				sleep(500 + random.nextInt(4500));
				this.deployment.platformFault("{\"log_down\":false}");
			}
			default -> {
				this.deployment.platformFault("{\"slow_ms\":" + random.nextInt(400) + "}");
				sleep(1000);
				this.deployment.platformFault("{\"slow_ms\":0}");
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
				faultLoop(stop);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		List<CompletableFuture<Void>> callers = IntStream.range(0, CALLERS)
			.mapToObj((caller) -> CompletableFuture.runAsync(() -> callerLoop(caller),
					(task) -> new Thread(task, "caller").start()))
			.toList();
		callers.forEach(CompletableFuture::join);
		stop.set(true);
		faults.join();
		List<String> executions = Files.readAllLines(this.deployment.executions());
		Set<String> executed = new HashSet<>(executions);
		System.out
			.println("bookings " + BOOKINGS + ", executed " + executions.size() + ", answered " + this.answered.size()
					+ ", refused as not run " + this.refusedNotRun.size() + ", unknown answers " + this.unknown.get());
		assertEquals(executions.size(), executed.size(), "doubled bookings");
		assertTrue(executed.containsAll(this.answered), "answered bookings that did not run");
		assertTrue(this.refusedNotRun.stream().noneMatch(executed::contains), "refused as not run, but ran");
		assertTrue(!this.refusedNotRun.isEmpty(), "the faults led to no refusal");
		assertTrue(this.answered.size() > BOOKINGS / 2, "answered: " + this.answered.size());
	}

}
