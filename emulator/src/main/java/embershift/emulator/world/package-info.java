/**
 * A fleet in virtual time: hosts, roster, fronts, network and clients as discrete events on one
 * thread, the same for the same day and seed. Nodes are real modules, driven through {@code
 * NodeEvents} and {@code Decisions}.
 */
package embershift.emulator.world;
