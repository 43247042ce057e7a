import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** One engine's answers to GET /anvilusher/report have a body without end; all else about it is sound. */
final class EndlessReportCase extends Case {

    private static final String[] ENGINES = { "i-e0", "i-e1", "i-e2" };
    /** The engine that the gateway takes first for short prompts; it follows from the ids. */
    private static final String FAULTY = "i-e2";
    private static final double CHATS_PER_S = 4.2;
    /** The link of a front machine, 1,000 Mbit/s, for all channels of the engine together. */
    private static final double LINK_BYTES_PER_S = 125e6;
    private static final long BOOKING_MS = 100;
    private static final long CALM_MS = 4_000;
    private static final long TROUBLE_MS = 60_000;
    private static final long HEARTBEAT_MS = 1_200;
    private static final int MAX_ENDS = 6;

    private final Object link = new Object();
    private double linkFreeAtS;
    private volatile boolean endless;

    EndlessReportCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new EndlessReportCase(args[0]));
    }

    @Override
    boolean run() throws Exception {
        Store store = new Store(this.record);
        KeptCallers callers = new KeptCallers(this.record, BOOKING_MS);
        Engine[] engines = new Engine[ENGINES.length];
        for (int index = 0; index < engines.length; index++) {
            engines[index] = new Engine(ENGINES[index], this.record,
                    ENGINES[index].equals(FAULTY) ? this::sendEndlessReport : null, null);
        }
        store.put("keyed.op", "config",
                Manifest.of(1,
                        List.of(Manifest.route("chat", "stream", "llm", 15_000, 100, 1,
                                ",\"session_affinity\":true,\"allow_resume\":false,\"gap_target_ms\":150"),
                                Manifest.route("book", "unsafe", "desk", 1_500, 121, 1, "")),
                        List.of("llm", "desk"), Map.of("walks", List.of("key-a"))));
        long deskBornMs = System.currentTimeMillis();
        Threads.start(() -> {
            while (true) {
                store.put("keyed.servers", "i-desk", callers.desk.entry("desk", "ready", 32, deskBornMs, ""));
                for (Engine engine : engines) {
                    store.put("keyed.servers", engine.server.id,
                            engine.server.entry("llm", "ready", 16, engine.bornMs, engine.stage()));
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        });
        RestartedGateway gateway = new RestartedGateway(this, store.port());
        callers.start(gateway::callerPort);
        Threads.start(() -> chat(gateway));
        Thread.sleep(CALM_MS);
        this.endless = this.trouble;
        this.record.line("script", "from now on the reports of " + FAULTY + " " + (this.endless ? "have no end" : "are sound"));
        long untilMs = this.record.elapsedMs() + TROUBLE_MS;
        while (this.record.elapsedMs() < untilMs && gateway.ends() < MAX_ENDS) {
            Thread.sleep(100);
        }
        Thread.sleep(500);
        this.record.line("script", "the gateway's process ended " + gateway.ends() + " times");
        return callers.held();
    }

    private void chat(RestartedGateway gateway) throws InterruptedException {
        Random random = new Random(5);
        for (int count = 0;; count++) {
            int number = count;
            Threads.start(() -> {
                try (Caller caller = new Caller(gateway.callerPort(), 20_000)) {
                    caller.sendHead("POST", "/chat/1", "chat-" + number, "key-a", 15_000, 0,
                            "Model: m\r\nToken-Counts: 220,90\r\nPrompt-Prefix: a" + number % 8 + ":47,b" + number % 55 + ":32,c"
                                    + number + ":141\r\n");
                    Caller.Answer answer = caller.readAnswer();
                    boolean whole = answer.status() == 200 && caller.readStream();
                    if (!whole) {
                        this.record.line("caller", "chat-" + number + " is answered " + answer.status() + " and not whole");
                    }
                }
            });
            Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / CHATS_PER_S));
        }
    }

    private boolean sendEndlessReport(Socket socket) throws IOException {
        if (!this.endless) {
            return false;
        }
        OutputStream out = socket.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        byte[] part = new byte[16_384];
        Arrays.fill(part, (byte) ' ');
        long sentBytes = 0;
        try {
            while (true) {
                awaitLink(part.length);
                out.write(part);
                sentBytes += part.length;
            }
        }
        catch (IOException ex) {
            this.record.line(FAULTY, "sent " + sentBytes + " bytes of a report until the gateway closed");
            throw ex;
        }
    }

    private void awaitLink(int bytes) throws IOException {
        long waitMs;
        synchronized (this.link) {
            double nowS = System.nanoTime() / 1e9;
            this.linkFreeAtS = Math.max(this.linkFreeAtS, nowS) + bytes / LINK_BYTES_PER_S;
            waitMs = (long) ((this.linkFreeAtS - nowS) * 1_000);
        }
        if (waitMs > 1) {
            try {
                Thread.sleep(waitMs);
            }
            catch (InterruptedException ex) {
                throw new IOException(ex);
            }
        }
    }
}
