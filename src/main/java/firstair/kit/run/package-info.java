/** Relays as processes of their own, started, signalled and watched from the outside. */
package firstair.kit.run;
