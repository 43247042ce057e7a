import java.util.concurrent.atomic.AtomicInteger;

/** A gateway that is started again after a short delay when its process has ended, as the platform does. */
final class RestartedGateway {

    private static final long RESTART_DELAY_MS = 500;

    private final Case review;
    private final int storePort;
    private final AtomicInteger ends = new AtomicInteger();
    private volatile GatewayProcess current;

    RestartedGateway(Case review, int storePort) throws Exception {
        this.review = review;
        this.storePort = storePort;
        this.current = review.startGateway("front-1", storePort);
        Threads.start(this::watch);
    }

    int callerPort() {
        return this.current.callerPort;
    }

    int ends() {
        return this.ends.get();
    }

    private void watch() throws Exception {
        for (int life = 2;; life++) {
            while (this.current.isAlive()) {
                Thread.sleep(10);
            }
            this.ends.incrementAndGet();
            this.review.record.line("platform", "the gateway's process ended by itself with code " + this.current.exitCode()
                    + ", its last words: " + this.review.lastError(this.current));
            Thread.sleep(RESTART_DELAY_MS);
            this.current = this.review.startGateway("front-1-life-" + life, this.storePort);
        }
    }
}
