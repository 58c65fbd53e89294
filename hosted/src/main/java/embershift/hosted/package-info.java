/**
 * The program that instances run, and its command line: what is decided stands in {@code fleet} and
 * {@code raft}.
 */
package embershift.hosted;
