package firstair.relay.clients;

import firstair.relay.Limits;
import firstair.relay.net.Wire;
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

/** The clients' end of the filter chain: hands bytes to each connection's state, and keeps their number down. */
public final class ClientFilter extends BaseFilter {
    private static final Attribute<ClientConnection> CLIENT =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("firstair.client");

    private final Limits limits;
    private final RequestHandler requests;
    private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();
    private volatile boolean draining;

    /** Serves clients and hands their requests on. */
    public ClientFilter(Limits limits, RequestHandler requests) {
        this.limits = limits;
        this.requests = requests;
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        ClientConnection client =
                new ClientConnection(ctx.getConnection(), limits, requests, () -> open.size() > limits.crowd());
        boolean room = open.size() < limits.maxClients() || makeRoom();
        CLIENT.set(ctx.getConnection(), client);
        open.add(client);
        if (!room) {
            client.turnAway(503);
        } else if (draining) {
            client.drain(); // it came while the others were told
        }
        return ctx.getInvokeAction();
    }

    /** Closes the connection that is missed least; hundreds that say nothing must not keep out those who would. */
    private boolean makeRoom() {
        for (int tries = open.size(); tries > 0; tries--) {
            ClientConnection least = least();
            if (least == null) {
                return false;
            }
            if (least.yields()) {
                open.remove(least);
                return true;
            }
        }
        return false;
    }

    private ClientConnection least() {
        double now = requests.now();
        ClientConnection least = null;
        int most = 0;
        for (ClientConnection c : open) {
            int spare = c.spare(now);
            if (spare > most || spare > 0 && spare == most && c.since() < least.since()) {
                least = c;
                most = spare;
            }
        }
        return least;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        ClientConnection client = CLIENT.get(ctx.getConnection());
        if (client == null || client.discards(Wire.size(ctx))) {
            Wire.drop(ctx);
        } else {
            client.received(Wire.bytes(ctx));
        }
        return ctx.getStopAction();
    }

    /** A client has ended its sending: whether its connection stays for an answer that is owed. */
    public boolean stays(Connection<?> connection) {
        ClientConnection client = CLIENT.get(connection);
        return client != null && client.endedSending();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        ClientConnection client = CLIENT.get(ctx.getConnection());
        if (client != null) {
            client.closed();
            open.remove(client);
        }
        return ctx.getStopAction();
    }

    /** Ends connections that take too long. */
    public void sweep() {
        double now = requests.now();
        open.forEach(c -> c.sweep(now));
    }

    /** Whether any request is being read or answered. */
    public boolean busy() {
        return open.stream().anyMatch(ClientConnection::busy);
    }

    /** Closes idle connections now and the others with their next answer. */
    public void drain() {
        draining = true;
        open.forEach(ClientConnection::drain);
    }

    /**
     * Ends all connections, but those that await an answer: these end with it. Whatever had come whole by then has been
     * handed in when {@code done} runs, on any thread.
     */
    public void end(Runnable done) {
        List<ClientConnection> all = List.copyOf(open);
        AtomicInteger left = new AtomicInteger(all.size() + 1);
        Runnable one = () -> {
            if (left.decrementAndGet() == 0) {
                done.run();
            }
        };
        all.forEach(c -> c.end(one));
        one.run();
    }

    /** Refuses, with nobody left to take it, what has been read and not answered. */
    public void refuse() {
        open.forEach(ClientConnection::refuse);
    }
}
