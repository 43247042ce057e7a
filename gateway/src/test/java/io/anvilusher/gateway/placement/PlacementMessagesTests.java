package io.anvilusher.gateway.placement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.anvilusher.logic.placement.coordinated.PlacementDecision;
import io.anvilusher.logic.placement.coordinated.PlacementReport;
import io.anvilusher.model.request.PromptPart;
import io.anvilusher.model.request.PromptShape;

import static org.testng.Assert.assertEquals;

/**
 * Tests that nothing is lost or exchanged when a message is encoded and decoded.
 */
public class PlacementMessagesTests {

	private static final PlacementGroup GROUP = new PlacementGroup("llm \"1\"", 3);

	/** Guards against fields in different orders, and against negative times left. */
	@Test
	public void requestIsDecodedAsItWasEncoded() {
		PlacementMessages.Ask ask = new PlacementMessages.Ask(1L << 47, GROUP,
				new PromptShape(9_000, 72, List.of(new PromptPart("d", 6_000), new PromptPart("q", 3_000))), -20, 5_000,
				2, 35, Set.of("e1", "e2"));
		assertEquals(PlacementMessages.decodeAsk(PlacementMessages.encode(ask)), Optional.of(ask));
	}

	@DataProvider
	public Object[][] decisions() {
		return new Object[][] { { new PlacementDecision.Assigned("e1", Optional.of("e2"), 2_890, true, 120) },
				{ new PlacementDecision.Assigned("e1", Optional.empty(), 1, false, 0) },
				{ new PlacementDecision.Queued() }, { new PlacementDecision.Refused(1_500) },
				{ new PlacementDecision.NoEngine() } };
	}

	/** Guards against a decision that is taken for another one. */
	@Test(dataProvider = "decisions")
	public void replyIsDecodedAsItWasEncoded(PlacementDecision decision) {
		assertEquals(PlacementMessages.decodeReply(PlacementMessages.encode(7, Optional.of(decision))),
				Optional.of(new PlacementMessages.Reply(7, Optional.of(decision))));
	}

	/** Guards against a coordinator that shuts down and is taken for one that decides. */
	@Test
	public void replyWithoutDecisionIsDecodedAsUnavailable() {
		assertEquals(PlacementMessages.decodeReply(PlacementMessages.encode(7, Optional.empty())),
				Optional.of(new PlacementMessages.Reply(7, Optional.empty())));
	}

	/** Guards against reports that lose what is not known. */
	@Test
	public void reportIsDecodedAsItWasEncoded() {
		for (PlacementReport.Event event : PlacementReport.Event.values()) {
			PlacementMessages.End end = new PlacementMessages.End(7, GROUP,
					new PlacementReport(event, "e1", OptionalLong.empty(), 150,
							List.of(new PlacementReport.EngineLoad("e1", 3, 1, OptionalInt.of(55)),
									new PlacementReport.EngineLoad("e2", 0, 0, OptionalInt.empty()))));
			assertEquals(PlacementMessages.decodeEnd(PlacementMessages.encode(end)), Optional.of(end));
		}
	}

}
