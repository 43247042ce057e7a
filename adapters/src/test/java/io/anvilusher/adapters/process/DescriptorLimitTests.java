package io.anvilusher.adapters.process;

import java.io.IOException;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/**
 * Tests reading the limit on descriptors.
 */
public class DescriptorLimitTests {

	private static final String OTHER = "Max locked memory         65536                65536                bytes";

	@Test
	public void softLimitIsRead() throws IOException {
		assertEquals(DescriptorLimit
			.parse(List.of(OTHER, "Max open files            1024                 524288               files     ")),
				1_024);
		assertEquals(DescriptorLimit.parse(List.of("Max open files            unlimited            unlimited   files")),
				Integer.MAX_VALUE);
		assertEquals(DescriptorLimit.parse(List.of("Max open files            9999999999           unlimited   files")),
				Integer.MAX_VALUE);
	}

	@Test
	public void unreadableLimitIsAnError() {
		assertThrows(IOException.class, () -> DescriptorLimit.parse(List.of(OTHER)));
		assertThrows(IOException.class, () -> DescriptorLimit.parse(List.of("Max open files    many  many  files")));
	}

	@Test
	public void limitOfThisProcessIsPositive() {
		assertTrue(DescriptorLimit.current() > 0);
	}

}
