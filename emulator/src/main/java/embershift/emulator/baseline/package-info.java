/**
 * Other ways to choose a host, behind the module's interface, to measure it by; in the emulator
 * only.
 */
package embershift.emulator.baseline;
