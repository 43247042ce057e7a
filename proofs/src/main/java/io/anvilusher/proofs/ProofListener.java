package io.anvilusher.proofs;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.testng.IExecutionListener;
import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Records the result of each test that has a {@link Proves} annotation. A failure of a
 * test that {@code KNOWN-RED.txt} lists is printed and counted as skipped.
 */
public class ProofListener implements IInvokedMethodListener, IExecutionListener {

	/** File in a module's directory to which the results of a run are written. */
	public static final String RESULTS_FILE = "target/proofs.json";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final PrintStream CONSOLE = System.out;

	private final Path module = Path.of(System.getProperty("basedir", "."));

	private final KnownFailures knownFailures = KnownFailures.read(this.module.resolve("../KNOWN-RED.txt"));

	private final List<ProofResult> results = new ArrayList<>();

	@Override
	public void afterInvocation(IInvokedMethod method, ITestResult testResult) {
		if (!method.isTestMethod()) {
			return;
		}
		Method test = testResult.getMethod().getConstructorOrMethod().getMethod();
		String name = test.getDeclaringClass().getName() + "#" + test.getName();
		boolean passed = testResult.getStatus() == ITestResult.SUCCESS;
		record(test, name, passed);
		if (!passed && this.knownFailures.contains(name)) {
			CONSOLE.println("KNOWN-RED " + name + ": " + testResult.getThrowable());
			testResult.setStatus(ITestResult.SKIP);
		}
	}

	private synchronized void record(Method test, String name, boolean passed) {
		Arrays.stream(test.getAnnotationsByType(Proves.class))
			.map((proof) -> new ProofResult(proof.promise(), proof.fault(), proof.step(), name, passed))
			.forEach(this.results::add);
	}

	@Override
	public void onExecutionFinish() {
		Path file = this.module.resolve(RESULTS_FILE);
		try {
			Files.createDirectories(file.getParent());
			MAPPER.writeValue(file.toFile(), this.results);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
