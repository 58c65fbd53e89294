/**
 * By which a node takes the fleet's orders and tells what it does. Off unless an operator's file
 * asks for it.
 */
package embershift.door;
