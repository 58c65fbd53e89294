/**
 * The emulated platform: worlds in virtual time, the judge of the rules, and the tool that plays
 * them.
 */
package embershift.emulator;
