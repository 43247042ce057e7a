package io.anvilusher.verification;

import java.io.IOException;

import org.testng.annotations.Test;

import io.anvilusher.deployment.Deployment;
import io.anvilusher.deployment.PartitionProxy;
import io.anvilusher.proofs.Fault;
import io.anvilusher.proofs.Promise;
import io.anvilusher.proofs.Proves;
import io.anvilusher.proofs.Step;

/**
 * Tests an entry that reaches neither the platform's log nor its only peer. It would not
 * learn that a key was withdrawn, so it must refuse requests until it reaches the log or
 * a peer again.
 */
public class IsolatedEntryTests {

	@Test
	@Proves(promise = Promise.KEYS_BIND_WORKSPACE, fault = Fault.PARTITION, step = Step.REQUEST_RECEIVED)
	public void isolatedEntryStopsKeyedWorkWithinFiveSecondsAndResumes() throws IOException {
		try (Deployment deployment = Deployment.start();
				PartitionProxy proxy = PartitionProxy.to(deployment.platform().ports().get(0))) {
			deployment.startEngine("guide-1", "ro-central-a", "guide");
			deployment.startEntry("entry-a", "ro-central-a");
			deployment.startEntry("entry-b", "ro-central-b", proxy.url(), "");
			deployment.publish(ThinPathTests.EXAMPLES.resolve("alpaca-pasi.json"));
			String key = deployment.grantKey("paddock-gate");
			deployment.awaitServers("entry-a", 1);
			deployment.awaitServers("entry-b", 1);
			proxy.block(true, true);
			deployment.process("entry-a").pause();
			Deployment.await(() -> status(deployment, key) == 503, 5000);
			deployment.process("entry-a").resume();
			Deployment.await(() -> status(deployment, key) == 200, 5000);
			proxy.block(false, false);
		}
	}

	private static int status(Deployment deployment, String key) {
		try {
			return deployment.post(deployment.entryUrl("entry-b") + "/v1/chat/completions",
					"{\"model\":\"guide-13b\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
					"X-Api-Key", key)
				.statusCode();
		}
		catch (IOException ex) {
			return -1;
		}
	}

}
