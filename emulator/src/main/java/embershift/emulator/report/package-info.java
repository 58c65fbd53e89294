/** Results for people: one page with plots that needs nothing else. */
package embershift.emulator.report;
