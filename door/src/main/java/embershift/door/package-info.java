/**
 * The control plane's agent in a node: executes orders from the control-plane instances and reports
 * the node's state. It runs only if an operator's file configures it.
 */
package embershift.door;
