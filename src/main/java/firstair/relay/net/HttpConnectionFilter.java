package firstair.relay.net;

import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Passes data and the end of connections that the relay opened to their links. */
final class HttpConnectionFilter extends BaseFilter {
    static final Attribute<GrizzlyHttpConnection> LINK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("firstair.link");

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        byte[] bytes = NetworkTransport.bytes(ctx);
        GrizzlyHttpConnection link = LINK.get(ctx.getConnection());
        if (link != null) {
            link.received(bytes);
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        GrizzlyHttpConnection link = LINK.get(ctx.getConnection());
        if (link != null) {
            link.closed();
        }
        return ctx.getStopAction();
    }
}
