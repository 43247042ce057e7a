import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway, started with the run line of deploy/system.toml and settings as its template makes them. */
final class GatewayProcess {

    final String name;
    final int callerPort;
    final int readyPort;
    private final int metricsPort;
    private final Process process;

    GatewayProcess(String name, int storePort, Path folder) throws IOException {
        this.name = name;
        List<Integer> ports = freePorts();
        this.callerPort = ports.get(0);
        this.readyPort = ports.get(1);
        this.metricsPort = ports.get(2);
        String template = Files.readString(Path.of("platform/settings.json"))
                // Sections are optional settings, which the harness leaves out.
                .replaceAll("\\{\\{#([^}]*)}}.*?\\{\\{/\\1}}", "");
        String settings = template.replace("{{node_name|json}}", "\"" + name + "\"").replace("{{zone|json}}", "\"z\"")
                .replace("{{listen.front|json}}", "\"127.0.0.1:" + this.callerPort + "\"")
                .replace("{{listen.ready_addr|json}}", "\"127.0.0.1:" + this.readyPort + "\"")
                .replace("{{ip}}:{{internal_ports.0}}", "127.0.0.1:" + this.metricsPort)
                .replace("{{ip}}:{{internal_ports.1}}", "127.0.0.1:" + this.metricsPort)
                .replace("{{platform.address}}", "127.0.0.1:" + storePort)
                .replace("{{cloud_api.address}}", "127.0.0.1:" + storePort).replace("{{bounds.grace_s|json}}", "8")
                .replace("{{bounds.retry_budget_ratio|json}}", "0.2").replace("{{bounds.budget_window_s|json}}", "10")
                .replace("{{bounds.usage_window_s|json}}", "5").replace("{{bounds.usage_late_s|json}}", "10")
                .replace("{{bounds.lease_ms|json}}", "3000").replace("{{bounds.drain_ms|json}}", "2000")
                .replace("{{bounds.catch_up_s|json}}", "4").replaceAll("(?s)\\{\\{#limits.max_fds}}.*\\{\\{/limits.max_fds}}", "");
        if (settings.contains("{{")) {
            throw new IOException("a placeholder of platform/settings.json is not known to the harness");
        }
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run line");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("ANVILUSHER_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve(name + ".log").toFile());
        this.process = builder.start();
    }

    private static List<Integer> freePorts() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket one = new ServerSocket(0, 1, loopback); ServerSocket two = new ServerSocket(0, 1, loopback);
                ServerSocket three = new ServerSocket(0, 1, loopback)) {
            return List.of(one.getLocalPort(), two.getLocalPort(), three.getLocalPort());
        }
    }

    /** Waits until the readiness check answers 200. */
    void awaitReady(long timeoutMs) throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        long untilNs = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < untilNs) {
            try {
                HttpResponse<String> response = client.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.readyPort + "/anvilusher/ready")).build(),
                        HttpResponse.BodyHandlers.ofString());
                if (response.statusCode() == 200) {
                    return;
                }
            }
            catch (IOException ex) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new IOException(this.name + " was not ready within " + timeoutMs + " ms");
    }

    long pid() {
        return this.process.pid();
    }

    boolean isAlive() {
        return this.process.isAlive();
    }

    /** The exit code, or -1 while the process runs. */
    int exitCode() {
        return this.process.isAlive() ? -1 : this.process.exitValue();
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
    }

    void end() {
        this.process.destroyForcibly();
        try {
            this.process.waitFor(5, TimeUnit.SECONDS);
        }
        catch (InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }
}
