/**
 * The same days on loopback: stand-in hosts, a roster over HTTP/1.1, a front and clients by the
 * published protocol, against real nodes in this process or in processes of their own.
 */
package embershift.emulator.sockets;
