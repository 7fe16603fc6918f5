/** Tools for tests and simulations. They use the relay over sockets only, and the relay does not depend on them. */
package firstair.kit;
