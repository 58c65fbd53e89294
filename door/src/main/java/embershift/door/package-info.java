/**
 * The control plane's agent in a node: takes orders of the control-plane instances and reports what
 * the node does. Off unless an operator's file asks for it.
 */
package embershift.door;
