import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** A request crashes each engine that begins to run it, right after its first event; its caller sends it again. */
final class TaintedRequestCase extends Case {

    private static final int ENGINES = 4;
    private static final long CONTACT_MS = 3_000;
    private static final int MAX_RETRIES_AFTER_THIRD_CRASH = 3;
    private static final long HEARTBEAT_MS = 1_200;
    private static final long BACK_AFTER_MS = 3_000;
    private static final long RUN_MS = 45_000;
    private static final long AGAIN_AFTER_MS = 1_000;
    private static final String TAINTED_BODY = "tainted";
    /** The event before which an engine crashes: the second, or, to compare, the first. */
    private static final int CRASH_BEFORE_EVENT = System.getenv("EARLY") != null ? 1 : 2;

    private final Store store;
    private final Engine[] engines = new Engine[ENGINES];
    private final Set<String> runsOfTainted = new HashSet<>();
    private final AtomicInteger cutStreams = new AtomicInteger();
    private final AtomicInteger wholeStreams = new AtomicInteger();
    private int crashes;
    private long thirdCrashMs = Long.MAX_VALUE / 2;
    private final List<String> lateRetries = new ArrayList<>();

    TaintedRequestCase(String folder) throws Exception {
        super(folder);
        this.store = new Store(this.record);
    }

    public static void main(String[] args) throws Exception {
        main(new TaintedRequestCase(args[0]));
    }

    @Override
    boolean run() throws Exception {
        this.store.put("keyed.op", "config",
                Manifest.of(1,
                        List.of(Manifest.route("chat", "stream", "llm", 15_000, 100, 1,
                                ",\"session_affinity\":true,\"allow_resume\":false,\"gap_target_ms\":150")),
                        List.of("llm"), Map.of("walks", List.of("key-a"))));
        for (int slot = 0; slot < ENGINES; slot++) {
            startEngine(slot, 1);
        }
        Threads.start(this::sendHeartbeats);
        List<GatewayProcess> gateways = List.of(startGateway("front-1", this.store.port()),
                startGateway("front-2", this.store.port()));
        Thread.sleep(CONTACT_MS + 1_000);
        for (int caller = 0; caller < 6; caller++) {
            int number = caller;
            Threads.start(() -> chat(gateways.get(number % 2), number));
        }
        long endMs = this.record.elapsedMs() + RUN_MS;
        for (int attempt = 1; this.record.elapsedMs() < endMs; attempt++) {
            sendTainted(gateways.get(attempt % 2), attempt);
            Thread.sleep(AGAIN_AFTER_MS);
        }
        synchronized (this) {
            this.record.line("script", this.crashes + " crashes; " + this.lateRetries.size()
                    + " retries reached a server, sent later than " + CONTACT_MS + " ms after the third crash: "
                    + this.lateRetries + "; other callers' streams: " + this.wholeStreams + " whole, " + this.cutStreams
                    + " cut");
            if (gateways.stream().anyMatch((gateway) -> !gateway.isAlive()) || this.wholeStreams.get() == 0) {
                throw new IllegalStateException("a gateway ended, or no stream was served");
            }
            return this.lateRetries.size() <= MAX_RETRIES_AFTER_THIRD_CRASH;
        }
    }

    private void startEngine(int slot, int life) throws Exception {
        Engine engine = new Engine("i-engine-" + slot + "-" + life, this.record, null,
                (running, request, event) -> onEvent(slot, life, running, request, event));
        synchronized (this) {
            this.engines[slot] = engine;
        }
        register(engine);
    }

    private void register(Engine engine) {
        this.store.put("keyed.servers", engine.server.id, engine.server.entry("llm", "ready", 16, engine.bornMs, engine.stage()));
    }

    private void sendHeartbeats() throws Exception {
        while (true) {
            Thread.sleep(HEARTBEAT_MS);
            synchronized (this) {
                for (Engine engine : this.engines) {
                    if (engine != null) {
                        register(engine);
                    }
                }
            }
        }
    }

    private void onEvent(int slot, int life, Engine engine, BackendServer.Request request, int event)
            throws java.io.IOException {
        if (!new String(request.body()).equals(TAINTED_BODY)) {
            return;
        }
        synchronized (this) {
            String id = request.headers().get("attempt-id");
            if (this.runsOfTainted.add(id)) {
                this.record.line(engine.server.id, "begins to run " + id);
                if (sentAtMs(id) > this.thirdCrashMs + CONTACT_MS) {
                    this.lateRetries.add(id);
                }
            }
            if (!this.trouble || event < CRASH_BEFORE_EVENT || this.engines[slot] != engine) {
                return;
            }
            this.engines[slot] = null;
            this.crashes++;
            if (this.crashes == 3) {
                this.thirdCrashMs = this.record.elapsedMs();
            }
            this.record.line(engine.server.id, "crash " + this.crashes);
        }
        engine.server.crash();
        Threads.start(() -> {
            Thread.sleep(BACK_AFTER_MS);
            startEngine(slot, life + 1);
            Thread.sleep(3 * HEARTBEAT_MS - BACK_AFTER_MS);
            this.store.put("keyed.servers", engine.server.id, "");
        });
    }

    private static long sentAtMs(String id) {
        return Long.parseLong(id.substring(id.lastIndexOf('-') + 1));
    }

    private void sendTainted(GatewayProcess gateway, int attempt) throws Exception {
        String id = "tainted-" + attempt + "-" + this.record.elapsedMs();
        try (Caller caller = new Caller(gateway.callerPort, 5_000)) {
            caller.sendHead("POST", "/chat/7", id, "key-a", 15_000, TAINTED_BODY.length(),
                    "Model: m\r\nToken-Counts: 220,20\r\nPrompt-Prefix: aa:47,bb:32,cc:141\r\n");
            caller.sendBody(TAINTED_BODY.getBytes());
            Caller.Answer answer = caller.readAnswer();
            String end = answer.status() == 200 ? (caller.readStream() ? "whole" : "cut") : answer.body();
            this.record.line("caller", id + " at " + gateway.name + " is answered " + answer.status() + " " + end);
        }
    }

    private void chat(GatewayProcess gateway, int number) throws Exception {
        for (int count = 0;; count++) {
            try (Caller caller = new Caller(gateway.callerPort, 5_000)) {
                caller.sendHead("POST", "/chat/1", "chat-" + number + "-" + count, "key-a", 15_000, 0,
                        "Model: m\r\nToken-Counts: 220,20\r\nPrompt-Prefix: a" + number + ":47,b" + number + ":32,c" + number + "x"
                                + count + ":141\r\n");
                Caller.Answer answer = caller.readAnswer();
                if (answer.status() == 200 && caller.readStream()) {
                    this.wholeStreams.incrementAndGet();
                }
                else {
                    this.cutStreams.incrementAndGet();
                    this.record.line("caller", "chat-" + number + "-" + count + " is answered " + answer.status()
                            + (answer.status() == 200 ? ", its stream is cut" : ""));
                }
            }
            Thread.sleep(100);
        }
    }
}
