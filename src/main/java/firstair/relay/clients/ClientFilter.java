package firstair.relay.clients;

import firstair.relay.Limits;
import firstair.relay.net.NetworkTransport;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The last filter of clients' connections: passes events to each connection's state and limits their number. */
public final class ClientFilter extends BaseFilter {
    private static final Attribute<ClientConnection> CLIENT =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("firstair.client");

    private final Limits limits;
    private final RequestHandler requests;
    private final ClientMemory memory;
    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    /** Creates a filter that passes the requests of clients to a handler. */
    public ClientFilter(Limits limits, RequestHandler requests) {
        this.limits = limits;
        this.requests = requests;
        this.memory = new ClientMemory(limits.clientBytes());
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        ClientConnection client =
                new ClientConnection(ctx.getConnection(), limits, requests, () -> open.size() > limits.crowd(), memory);
        boolean admitted = open.size() < limits.maxClients() || evictOne();
        CLIENT.set(ctx.getConnection(), client);
        open.add(client);
        if (!admitted) {
            client.rejectAndClose(ResponseStatus.REFUSED);
        } else if (draining) {
            client.drain(); // accepted while the others were being drained
        }
        return ctx.getInvokeAction();
    }

    /** Closes the connection whose loss matters least: hundreds of silent ones must not keep other clients out. */
    private boolean evictOne() {
        for (int tries = open.size(); tries > 0; tries--) {
            ClientConnection candidate = evictionCandidate();
            if (candidate == null) {
                return false;
            }
            if (candidate.evict()) {
                open.remove(candidate);
                return true;
            }
        }
        return false;
    }

    private ClientConnection evictionCandidate() {
        double now = requests.now();
        ClientConnection candidate = null;
        int highest = 0;
        for (ClientConnection client : open) {
            int priority = client.evictionPriority(now);
            if (priority > highest
                    || priority > 0 && priority == highest && client.stateSince() < candidate.stateSince()) {
                candidate = client;
                highest = priority;
            }
        }
        return candidate;
    }

    /**
     * Refuses the requests that have been incomplete for longest until the others fit into memory. A client that is
     * sound sends its request at once, so its own is complete before that.
     */
    private void refuseOldestPartialRequests() {
        while (memory.crowded()) {
            ClientConnection oldest = oldestPartialRequest();
            if (oldest == null || !oldest.refusePartialRequest()) {
                return; // all are complete and wait for their responses
            }
        }
    }

    private ClientConnection oldestPartialRequest() {
        ClientConnection oldest = null;
        double earliest = Double.POSITIVE_INFINITY;
        for (ClientConnection client : open) {
            double since = client.partialRequestSince();
            if (since < earliest) {
                earliest = since;
                oldest = client;
            }
        }
        return oldest;
    }

    /** The bytes of the heap that all connections hold. */
    long heldBytes() {
        return memory.held();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        refuseOldestPartialRequests();
        ClientConnection client = CLIENT.get(ctx.getConnection());
        if (client == null || client.discardsInput(NetworkTransport.readableBytes(ctx))) {
            NetworkTransport.discard(ctx);
        } else {
            client.received(NetworkTransport.bytes(ctx));
        }
        return ctx.getStopAction();
    }

    /** Called when a client has shut down its output; returns whether its connection stays open for a response. */
    public boolean keepsOpen(Connection<?> connection) {
        ClientConnection client = CLIENT.get(connection);
        return client != null && client.onInputEnd();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        ClientConnection client = CLIENT.get(ctx.getConnection());
        if (client != null) {
            client.onClose();
            open.remove(client);
        }
        return ctx.getStopAction();
    }

    /** Closes connections whose time limits have passed. */
    public void sweep() {
        double now = requests.now();
        open.forEach(client -> client.sweep(now));
    }

    /** Whether any request is being received or awaits its response, or a first one may be on its way. */
    public boolean busy() {
        return open.stream().anyMatch(ClientConnection::busy);
    }

    /** Closes idle connections now and the others after their next response. */
    public void drain() {
        draining = true;
        open.forEach(ClientConnection::drain);
    }

    /**
     * Closes all connections except those that await a response, which are closed after it. When {@code done} runs, on
     * any thread, all requests that were completely received have been passed to the handler.
     */
    public void end(Runnable done) {
        List<ClientConnection> all = List.copyOf(open);
        AtomicInteger remaining = new AtomicInteger(all.size() + 1);
        Runnable countDown = () -> {
            if (remaining.decrementAndGet() == 0) {
                done.run();
            }
        };
        all.forEach(client -> client.end(countDown));
        countDown.run();
    }

    /** Refuses all requests that were received and not answered; used when the handler has stopped. */
    public void refusePending() {
        open.forEach(ClientConnection::refuse);
    }
}
