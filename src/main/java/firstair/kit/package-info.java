/** The kit for tests and rehearsals. It uses the relay as others do, over sockets; the relay knows nothing of it. */
package firstair.kit;
