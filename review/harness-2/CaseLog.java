import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run. */
final class CaseLog implements AutoCloseable {

	private final PrintWriter out;

	private final long startNs = System.nanoTime();

	CaseLog(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void line(String text) {
		String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - this.startNs) / 1e9, text);
		this.out.println(line);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
