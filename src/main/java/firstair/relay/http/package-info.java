/** Parsing and encoding of HTTP/1.1, independent of sockets. */
package firstair.relay.http;
