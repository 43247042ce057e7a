import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that book over channels that they keep, and the sound server that they book at. Counts what the rule LOST counts:
 * requests of kept channels that were passed on to the sound server and whose channel ended without any byte of an answer.
 */
final class KeptCallers {

    static final int MAX_LOST = 3;

    private static final int CALLERS = 16;
    private static final long THINK_MS = 200;

    final BackendServer desk;
    private final Record record;
    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();

    /** @param workMs how long the server works on a booking */
    KeptCallers(Record record, long workMs) throws IOException {
        this.record = record;
        this.desk = new BackendServer("i-desk", (request, socket) -> {
            this.passedOn.add(request.headers().get("attempt-id"));
            try {
                Thread.sleep(workMs);
            }
            catch (InterruptedException ex) {
                Thread.currentThread().interrupt();
            }
            BackendServer.send(socket.getOutputStream(), "200 OK", request.headers(),
                    "Response-Stamp: s\r\nServer-Load: 1,0,32\r\n", "booked");
        });
    }

    interface Port {
        int current();
    }

    /** Starts the callers; they reconnect to the gateway's current port. */
    void start(Port port) {
        for (int caller = 0; caller < CALLERS; caller++) {
            int number = caller;
            Threads.start(() -> book(number, port));
        }
    }

    private void book(int number, Port port) throws InterruptedException {
        Thread.sleep(number * THINK_MS / CALLERS);
        Caller channel = null;
        int answersOnChannel = 0;
        for (int count = 0; !this.ended.get(); count++) {
            String id = "book-" + number + "-" + count;
            try {
                if (channel == null) {
                    channel = new Caller(port.current(), 5_000);
                    answersOnChannel = 0;
                }
                channel.sendHead("POST", "/book/1", id, "key-a", 1_500, 0, "");
                Caller.Answer answer = channel.readAnswer();
                if (answer.status() == 0) {
                    if (answersOnChannel > 0 && this.passedOn.contains(id) && !this.ended.get()) {
                        this.lost.incrementAndGet();
                        this.record.line("caller", id + ", passed on to the sound server i-desk, gets no answer: "
                                + answer.body() + "; answers on this channel before: " + answersOnChannel);
                    }
                    channel.close();
                    channel = null;
                }
                else {
                    answersOnChannel++;
                    (answer.status() == 200 ? this.answered : this.refused).incrementAndGet();
                    if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
                        channel.close();
                        channel = null;
                    }
                }
            }
            catch (IOException ex) {
                channel = null;
            }
            Thread.sleep(THINK_MS);
        }
    }

    /** Ends the callers and returns whether the rule LOST held. */
    boolean held() {
        this.ended.set(true);
        this.record.line("script", "bookings: " + this.answered + " answered 200, " + this.refused + " answered otherwise, "
                + this.lost + " lost (the rule allows " + MAX_LOST + ")");
        if (this.answered.get() == 0) {
            throw new IllegalStateException("no booking was served");
        }
        return this.lost.get() <= MAX_LOST;
    }
}
