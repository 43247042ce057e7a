package io.anvilusher.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.adapters.process.SettingsFile;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests {@link GatewaySettings}.
 */
public class GatewaySettingsTests {

	private static SettingsFile<GatewaySettings> read(String optional) throws IOException {
		Path file = Files.createTempFile("settings", ".json");
		try {
			Files.writeString(file, """
					{"process": "g", "dataCentre": "a", "callerAddress": "127.0.0.1:1", "readyAddress": "127.0.0.1:2",
					%s
					"metricsAddress": "127.0.0.1:3", "store": "http://127.0.0.1:4"}
					""".formatted(optional));
			return SettingsFile.read(file, GatewaySettings::read);
		}
		finally {
			Files.delete(file);
		}
	}

	@DataProvider
	public Object[][] peerSettings() {
		return new Object[][] { { "", Optional.empty(), 1.0 },
				{ "\"peerAddress\": \"10.0.0.7:\",", Optional.empty(), 1.0 },
				{ "\"peerAddress\": \"10.0.0.7:99\", \"processorShare\": 0.5, \"processorCount\": 3,",
						Optional.of(new InetSocketAddress("10.0.0.7", 99)), 1.5 } };
	}

	/** Guards against a gateway that does not start where there is no second port. */
	@Test(dataProvider = "peerSettings")
	public void peerSettingsAreOptional(String optional, Optional<InetSocketAddress> address, double cores)
			throws IOException {
		assertEquals(read(optional).settings().orElseThrow().peers(), new GatewaySettings.PeerSettings(address, cores));
	}

	@DataProvider
	public Object[][] invalidAddresses() {
		return new Object[][] { { "10.0.0.7:0" }, { "0.0.0.0:99" }, { "host.example:99" }, { "10.0.0.7" } };
	}

	/** Guards against an address that the other gateways cannot send to. */
	@Test(dataProvider = "invalidAddresses")
	public void unusablePeerAddressIsOneError(String address) throws IOException {
		SettingsFile<GatewaySettings> file = read("\"peerAddress\": \"" + address + "\",");
		assertTrue(file.settings().isEmpty());
		assertEquals(file.errors().size(), 1, file.errors().toString());
	}

}
