package io.anvilusher.bench;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;

import io.anvilusher.deployment.Deployment;

/**
 * Demonstrates the product: starts all processes on the loopback interface, sends a
 * streamed chat, an availability check and a booking through them, and stops them.
 */
public final class Demo {

	private static final int OK = 200;

	private static final int CREATED = 201;

	/** Length of the part of a key that comes before its secret and may be printed. */
	private static final int KEY_ID_LENGTH = 15;

	private Demo() {
	}

	/**
	 * Runs the demonstration.
	 * @param args {@code --keep} leaves everything running until the process is ended
	 * @throws IOException if a process cannot be started or reached
	 */
	public static void main(String[] args) throws IOException {
		boolean keep = List.of(args).contains("--keep");
		boolean passed;
		try (Deployment deployment = Deployment.start()) {
			Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
			passed = run(deployment, keep);
		}
		if (passed) {
			System.out.println("demo: passed");
		}
		System.exit(passed ? 0 : 1);
	}

	private static boolean run(Deployment deployment, boolean keep) throws IOException {
		System.out.println("Starting the platform, two entries and three backend servers with their sidecars ...");
		deployment.startEngine("guide-1", "ro-central-a", "guide");
		deployment.startEngine("guide-2", "ro-central-b", "guide");
		deployment.startPlainService("booking-1", "ro-central-a", "booking", 0);
		deployment.startEntry("entry-a", "ro-central-a");
		deployment.startEntry("entry-b", "ro-central-b");
		System.out.println("config publish: "
				+ deployment.publish(Path.of(System.getProperty("anvilusher.examples"), "alpaca-pasi.json")).strip());
		String key = deployment.grantKey("paddock-gate");
		System.out.println("key grant: " + key.substring(0, KEY_ID_LENGTH) + "_...");
		deployment.awaitServers("entry-a", 3);
		deployment.awaitServers("entry-b", 3);
		boolean passed = sendRequests(deployment, key);
		System.out.println();
		System.out.print(deployment.runCommand("status").outputOrThrow());
		if (keep) {
			keepRunning(deployment, key);
		}
		return passed;
	}

	private static boolean sendRequests(Deployment deployment, String key) throws IOException {
		String bearer = "Bearer " + key;
		HttpResponse<String> chat = deployment.post(deployment.entryUrl("entry-a") + "/v1/chat/completions", """
				{"model": "guide-13b", "stream": true, "max_tokens": 5, "user": "walk",
				 "messages": [{"role": "user", "content": "Is the ridge trail open today?"}]}""", "Authorization",
				bearer);
		print("streamed chat", chat);
		HttpResponse<String> availability = deployment.get(deployment.entryUrl("entry-b") + "/availability?slot=sat-10",
				"Authorization", bearer);
		print("availability check", availability);
		HttpResponse<String> booking = deployment.post(deployment.entryUrl("entry-a") + "/bookings",
				"{\"family\": \"Ionescu\", \"slot\": \"sat-10\"}", "Authorization", bearer, "Idempotency-Key",
				"demo-booking-1");
		print("booking", booking);
		HttpResponse<String> again = deployment.post(deployment.entryUrl("entry-b") + "/bookings",
				"{\"family\": \"Ionescu\", \"slot\": \"sat-10\"}", "Authorization", bearer, "Idempotency-Key",
				"demo-booking-1");
		print("the same booking sent again, at the other entry", again);
		return chat.statusCode() == OK && chat.body().contains("[DONE]") && availability.statusCode() == OK
				&& booking.statusCode() == CREATED && again.body().equals(booking.body());
	}

	private static void print(String title, HttpResponse<String> response) {
		System.out.println();
		System.out.println(title + ": " + response.statusCode());
		System.out.println(response.body().strip());
	}

	private static void keepRunning(Deployment deployment, String key) {
		System.out.println();
		System.out
			.println("entry-a: " + deployment.entryUrl("entry-a") + "  admin: " + deployment.entryAdminUrl("entry-a"));
		System.out
			.println("entry-b: " + deployment.entryUrl("entry-b") + "  admin: " + deployment.entryAdminUrl("entry-b"));
		System.out.println("platform: " + deployment.platformUrl());
		System.out.println("Try: curl -N " + deployment.entryUrl("entry-a") + "/v1/chat/completions -H 'Authorization: "
				+ "Bearer " + key + "' -d '{\"model\":\"guide-13b\",\"stream\":true,\"messages\":"
				+ "[{\"role\":\"user\",\"content\":\"hello\"}]}'");
		System.out.println("Press Enter, or Ctrl-C, to stop everything.");
		try {
			while (System.in.read() >= 0 && System.in.available() > 0) {
				continue;
			}
		}
		catch (IOException ex) {
			System.err.println("Standard input is closed: " + ex.getMessage());
		}
	}

}
