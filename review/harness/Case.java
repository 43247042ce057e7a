import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
abstract class Case {

    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder;
    private final List<GatewayProcess> gateways = new ArrayList<>();
    private boolean ending;

    Case(String caseFolder) throws IOException {
        this.record = new Record(Path.of(caseFolder, "record.txt"));
        this.folder = Files.createTempDirectory("review");
    }

    /** Returns whether the rule held. */
    abstract boolean run() throws Exception;

    GatewayProcess startGateway(String name, int storePort) throws Exception {
        GatewayProcess gateway = start(name, storePort);
        gateway.awaitReady(20_000);
        this.record.line("script", "gateway " + name + " is ready, process " + gateway.pid());
        return gateway;
    }

    private synchronized GatewayProcess start(String name, int storePort) throws IOException {
        if (this.ending) {
            throw new IOException("the script ends");
        }
        GatewayProcess gateway = new GatewayProcess(name, storePort, this.folder);
        this.gateways.add(gateway);
        return gateway;
    }

    String log(GatewayProcess gateway) throws IOException {
        return Files.readString(this.folder.resolve(gateway.name + ".log"));
    }

    static void main(Case review) {
        Runtime.getRuntime().addShutdownHook(new Thread(review::end));
        int code = 2;
        try {
            review.record.line("script", review.trouble ? "with the disruption" : "TROUBLE=0, without the disruption");
            boolean held = review.run();
            code = held ? 0 : 1;
            review.record.line("script", held ? "the rule held" : "THE RULE WAS BROKEN");
        }
        catch (Exception ex) {
            review.record.line("script", "the case could not run: " + ex);
        }
        System.exit(code);
    }

    /** Returns the last line of the gateway's output that names an error. */
    String lastError(GatewayProcess gateway) throws IOException {
        return log(gateway).lines().filter((line) -> line.contains("OutOfMemoryError") || line.contains("\"level\":\"ERROR\""))
                .reduce((first, second) -> second).orElse("none");
    }

    private synchronized void end() {
        this.ending = true;
        this.gateways.forEach(GatewayProcess::end);
        try (Stream<Path> files = Files.walk(this.folder)) {
            if (System.getenv("KEEP") == null) {
                files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
            }
        }
        catch (IOException ex) {
            // The temporary folder stays.
        }
        this.record.close();
    }
}
