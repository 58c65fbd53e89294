/** The four rules, kept by what clients and hosts saw. */
package embershift.emulator.judge;
