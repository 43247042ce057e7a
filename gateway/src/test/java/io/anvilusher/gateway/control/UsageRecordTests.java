package io.anvilusher.gateway.control;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link UsageRecord}.
 */
public class UsageRecordTests {

	@Test
	public void readsWhatItWrites() {
		UsageRecord written = new UsageRecord("a", 7, Map.of("w", 3L));
		assertEquals(UsageRecord.decode(written.encode()), Optional.of(written));
		UsageRecord seal = new UsageRecord("", 7, Map.of());
		assertEquals(UsageRecord.decode(seal.encode()), Optional.of(seal));
	}

	@DataProvider
	public Object[][] oddRecords() {
		return new Object[][] { { "{}" }, { "null" }, { "7" }, { "" }, { "{\"window\":7}" },
				{ "{\"window\":7,\"counts\":{\"w\":1}}" }, { "{\"process\":\"a\",\"window\":\"7\",\"counts\":{}}" },
				{ "{\"process\":\"a\",\"window\":7.5,\"counts\":{}}" },
				{ "{\"process\":\"a\",\"window\":7,\"counts\":{\"w\":-1}}" },
				{ "{\"process\":\"a\",\"window\":7,\"counts\":{\"w\":\"1\"}}" },
				{ "{\"process\":\"a\",\"window\":7,\"counts\":{\"w\":99999999999999999999}}" } };
	}

	/** Guards against a record of a faulty writer that is taken as a seal. */
	@Test(dataProvider = "oddRecords")
	public void skipsRecordsThatAreNeitherCountsNorSeals(String content) {
		assertEquals(UsageRecord.decode(content.getBytes(StandardCharsets.UTF_8)), Optional.empty());
	}

}
