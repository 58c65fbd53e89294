/**
 * Days played again and again: by many seeds, against baselines, over grids, and in the hunt for
 * bad ones.
 */
package embershift.emulator.experiment;
