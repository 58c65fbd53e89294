/**
 * A day as its author writes it: the fleet, its clients and its troubles; read and checked as a
 * whole.
 */
package embershift.emulator.day;
