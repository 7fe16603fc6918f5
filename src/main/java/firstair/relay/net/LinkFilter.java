package firstair.relay.net;

import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** Passes data and the end of connections that the relay opened to their links. */
final class LinkFilter extends BaseFilter {
    static final Attribute<HttpLink> LINK = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("firstair.link");

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        byte[] bytes = Wire.bytes(ctx);
        HttpLink link = LINK.get(ctx.getConnection());
        if (link != null) {
            link.received(bytes);
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        HttpLink link = LINK.get(ctx.getConnection());
        if (link != null) {
            link.closed();
        }
        return ctx.getStopAction();
    }
}
