import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

    private final long startNs = System.nanoTime();
    private final PrintStream out;

    Record(Path file) throws IOException {
        this.out = new PrintStream(file.toFile());
    }

    long elapsedMs() {
        return (System.nanoTime() - this.startNs) / 1_000_000;
    }

    synchronized void line(String who, String what) {
        this.out.printf("%7d ms  %-9s %s%n", elapsedMs(), who, what);
        this.out.flush();
    }

    @Override
    public void close() {
        this.out.close();
    }
}
