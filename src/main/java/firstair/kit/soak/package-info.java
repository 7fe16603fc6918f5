/** Long runs of a relay under faults, with a verdict. */
package firstair.kit.soak;
