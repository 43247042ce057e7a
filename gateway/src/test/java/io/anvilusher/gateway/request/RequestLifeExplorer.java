package io.anvilusher.gateway.request;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * Explores the orders of events in one scenario: first all of them up to a number of
 * steps, then longer ones at random.
 */
final class RequestLifeExplorer {

	private static final int MAX_WALK_STEPS = 60;

	private final LifeScenario scenario;

	private final Map<LifeRule, List<String>> shortestByRule = new EnumMap<>(LifeRule.class);

	private final Map<LifeRule, Integer> casesByRule = new EnumMap<>(LifeRule.class);

	private final Map<Integer, Integer> walksByStatus = new TreeMap<>();

	private int maxSends;

	private long runs;

	RequestLifeExplorer(LifeScenario scenario) {
		this.scenario = scenario;
	}

	/**
	 * Runs every order of events up to a number of steps, depth first.
	 * @param steps number of steps
	 */
	void exploreAll(int steps) {
		List<Integer> path = new ArrayList<>();
		List<Integer> widths = new ArrayList<>();
		do {
			widths.clear();
			run(steps, (actions) -> {
				int depth = widths.size();
				widths.add(actions.size());
				if (depth == path.size()) {
					path.add(0);
				}
				return path.get(depth);
			}, Optional.empty());
		}
		while (advance(path, widths));
	}

	private static boolean advance(List<Integer> path, List<Integer> widths) {
		for (int depth = path.size() - 1; depth >= 0; depth--) {
			if (path.get(depth) + 1 < widths.get(depth)) {
				path.set(depth, path.get(depth) + 1);
				return true;
			}
			path.remove(depth);
		}
		return false;
	}

	/**
	 * Runs one long order of events chosen at random.
	 * @param seed seed of the choice
	 */
	void walk(long seed) {
		Random random = new Random(seed);
		RequestLifeSchedule ended = run(MAX_WALK_STEPS, (actions) -> choose(actions, random), Optional.of(seed));
		this.walksByStatus.merge(ended.status(), 1, Integer::sum);
	}

	private static int choose(List<ScheduleAction> actions, Random random) {
		int left = random.nextInt(actions.stream().mapToInt(ScheduleAction::weight).sum());
		int index = 0;
		while (left >= actions.get(index).weight()) {
			left -= actions.get(index).weight();
			index++;
		}
		return index;
	}

	private RequestLifeSchedule run(int steps, ToIntFunction<List<ScheduleAction>> choice, Optional<Long> seed) {
		RequestLifeSchedule schedule = new RequestLifeSchedule(this.scenario);
		int known = 0;
		for (int step = 0; step < steps; step++) {
			List<ScheduleAction> actions = schedule.actions();
			if (actions.isEmpty()) {
				break;
			}
			schedule.apply(actions.get(choice.applyAsInt(actions)));
			if (schedule.broken().size() > known) {
				known = schedule.broken().size();
				record(schedule, seed);
			}
		}
		schedule.broken().forEach((rule) -> this.casesByRule.merge(rule, 1, Integer::sum));
		this.maxSends = Math.max(this.maxSends, schedule.sends());
		this.runs++;
		return schedule;
	}

	private void record(RequestLifeSchedule schedule, Optional<Long> seed) {
		List<String> trace = schedule.trace();
		seed.ifPresent((value) -> trace.add("seed " + value));
		schedule.broken()
			.forEach((rule) -> this.shortestByRule.merge(rule, trace,
					(shortest, found) -> (found.size() < shortest.size()) ? found : shortest));
	}

	/**
	 * Returns the shortest order of events that broke a rule.
	 * @param rule the rule
	 * @return the events; empty if the rule held
	 */
	Optional<List<String>> shortest(LifeRule rule) {
		return Optional.ofNullable(this.shortestByRule.get(rule));
	}

	Map<Integer, Integer> walksByStatus() {
		return this.walksByStatus;
	}

	int maxSends() {
		return this.maxSends;
	}

	/**
	 * Returns a summary for the report.
	 * @return number of runs, of runs that broke each rule and of walks by status
	 */
	String summary() {
		return this.scenario + ": " + this.runs + " runs, broken " + this.casesByRule + ", walks by status "
				+ this.walksByStatus + ", at most " + this.maxSends + " sends";
	}

}
