/**
 * The program of a control-plane instance and its command line. The decisions are made in {@code
 * fleet} and {@code raft}.
 */
package embershift.hosted;
