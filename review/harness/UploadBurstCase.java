import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers send bodies of the largest size that the manifest allows; in a burst, 1.8 times as many come. */
final class UploadBurstCase extends Case {

    private static final int BODY_BYTES = 4_194_304;
    private static final int CALM_UPLOADERS = 6;
    private static final int BURST_UPLOADERS = 11;
    private static final long BOOKING_MS = 200;
    private static final long CALM_MS = 10_000;
    private static final long BURST_MS = 14_000;
    private static final long WORK_MS = 50;
    private static final long THINK_MS = 100;
    /** About the time that one upload takes; the callers of the calm part begin spread over it. */
    private static final long UPLOAD_MS = 2_800;
    /** The uplink of each uploading caller, 12 Mbit/s. */
    private static final double UPLINK_BYTES_PER_S = 1.5e6;

    private final AtomicInteger uploaded = new AtomicInteger();
    private final AtomicInteger notUploaded = new AtomicInteger();
    private volatile boolean ended;

    UploadBurstCase(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] args) throws Exception {
        main(new UploadBurstCase(args[0]));
    }

    @Override
    boolean run() throws Exception {
        Store store = new Store(this.record);
        KeptCallers callers = new KeptCallers(this.record, BOOKING_MS);
        BackendServer photos = new BackendServer("i-photos", (request, socket) -> {
            try {
                Thread.sleep(WORK_MS);
            }
            catch (InterruptedException ex) {
                Thread.currentThread().interrupt();
            }
            BackendServer.send(socket.getOutputStream(), "200 OK", request.headers(), "Response-Stamp: s\r\n", "stored");
        });
        store.put("keyed.op", "config",
                Manifest.of(1,
                        List.of(Manifest.route("book", "unsafe", "desk", 1_500, 121, 1, ""),
                                Manifest.route("photo", "unsafe", "photos", 10_000, 1_000, 1, "")),
                        List.of("desk", "photos"), Map.of("walks", List.of("key-a"))));
        store.put("keyed.servers", "i-desk", callers.desk.entry("desk", "ready", 32, System.currentTimeMillis(), ""));
        store.put("keyed.servers", "i-photos", photos.entry("photos", "ready", 32, System.currentTimeMillis(), ""));
        RestartedGateway gateway = new RestartedGateway(this, store.port());
        callers.start(gateway::callerPort);
        start(gateway, 0, CALM_UPLOADERS, UPLOAD_MS);
        Thread.sleep(CALM_MS);
        this.record.line("script", "after the calm part: " + this.uploaded + " uploads answered 200, " + this.notUploaded
                + " otherwise; the gateway's process ended " + gateway.ends() + " times");
        if (gateway.ends() > 0) {
            throw new IllegalStateException("the gateway ended in the calm part");
        }
        if (this.trouble) {
            this.record.line("script", BURST_UPLOADERS + " uploading callers in place of " + CALM_UPLOADERS + " for " + BURST_MS + " ms");
            start(gateway, CALM_UPLOADERS, BURST_UPLOADERS, 0);
        }
        Thread.sleep(BURST_MS);
        this.ended = true;
        Thread.sleep(500);
        this.record.line("script", this.uploaded + " uploads answered 200, " + this.notUploaded
                + " otherwise; the gateway's process ended " + gateway.ends() + " times");
        return callers.held();
    }

    private void start(RestartedGateway gateway, int from, int to, long spreadMs) {
        for (int uploader = from; uploader < to; uploader++) {
            int number = uploader;
            Threads.start(() -> {
                Thread.sleep((number - from) * spreadMs / (to - from));
                upload(gateway, number);
            });
        }
    }

    private void upload(RestartedGateway gateway, int number) throws InterruptedException {
        for (int count = 0; !this.ended; count++) {
            try (Caller caller = new Caller(gateway.callerPort(), 12_000)) {
                caller.sendHead("POST", "/photo/1", "photo-" + number + "-" + count, "key-a", 10_000, BODY_BYTES, "");
                byte[] part = new byte[32_768];
                for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
                    caller.sendBody(part);
                    Thread.sleep((long) (part.length * 1_000 / UPLINK_BYTES_PER_S));
                }
                Caller.Answer answer = caller.readAnswer();
                (answer.status() == 200 ? this.uploaded : this.notUploaded).incrementAndGet();
            }
            catch (IOException ex) {
                this.notUploaded.incrementAndGet();
            }
            Thread.sleep(THINK_MS);
        }
    }
}
