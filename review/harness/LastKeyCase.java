import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The two keys of the only tenant are taken away one after the other. Requests with them, with a key that no manifest ever
 * held and without a key go on.
 */
final class LastKeyCase extends Case {

    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long CONTACT_MS = 3_000;
    private static final long REVOKE_GAP_MS = 1_500;
    private static final int ROUNDS = 5;

    private final AtomicInteger runs = new AtomicInteger();

    LastKeyCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new LastKeyCase(args[0]));
    }

    @Override
    boolean run() throws Exception {
        Store store = new Store(this.record);
        BackendServer desk = new BackendServer("i-desk", (request, socket) -> {
            this.runs.incrementAndGet();
            this.record.line("server",
                    "runs " + request.headers().get("attempt-id") + " for Tenant " + request.headers().get("tenant"));
            BackendServer.send(socket.getOutputStream(), "200 OK", request.headers(), "Response-Stamp: s\r\n", "booked");
        });
        store.put("keyed.servers", "i-desk", desk.entry("desk", "ready", 6, System.currentTimeMillis(), ""));
        publish(store, 1, List.of("key-a", "key-b"));
        GatewayProcess gateway = startGateway("front-1", store.port());
        Thread.sleep(CONTACT_MS + 500);
        try (Caller caller = new Caller(gateway.callerPort, 5_000)) {
            send(caller, "calm-key-a", "key-a");
            send(caller, "calm-key-b", "key-b");
            send(caller, "calm-unknown-key", "key-never-given");
            send(caller, "calm-no-key", "");
            if (this.runs.get() != 2) {
                throw new IllegalStateException("the calm part did not go as expected");
            }
            publish(store, 2, this.trouble ? List.of("key-b") : List.of("key-a", "key-b"));
            Thread.sleep(REVOKE_GAP_MS);
            publish(store, 3, this.trouble ? List.of() : List.of("key-a", "key-b"));
            Thread.sleep(CONFIG_APPLY_MS + 1_000);
            int before = this.runs.get();
            for (int round = 0; round < ROUNDS; round++) {
                if (this.trouble) {
                    send(caller, "later-key-a-" + round, "key-a");
                    send(caller, "later-key-b-" + round, "key-b");
                }
                send(caller, "later-unknown-key-" + round, "key-never-given");
                send(caller, "later-no-key-" + round, "");
                Thread.sleep(100);
            }
            this.record.line("script",
                    (this.runs.get() - before) + " requests whose key is in no manifest in force ran, sent later than "
                            + CONFIG_APPLY_MS + " ms after the acknowledgement of version 3");
            return this.runs.get() == before;
        }
    }

    private void publish(Store store, long version, List<String> keys) {
        store.put("keyed.op", "config", Manifest.of(version, List.of(Manifest.route("book", "unsafe", "desk", 1_500, 121, 1, "")),
                List.of("desk"), Map.of("walks", keys)));
        this.record.line("operator", "version " + version + " is acknowledged: tenant walks has the keys " + keys);
    }

    private void send(Caller caller, String id, String key) throws Exception {
        this.record.line("caller", "sends " + id + " with key '" + key + "'");
        caller.sendHead("POST", "/book/1", id, key, 1_500, 0, "");
        Caller.Answer answer = caller.readAnswer();
        this.record.line("caller", id + " is answered " + answer.status() + " " + answer.body());
    }
}
