// Command mimosastand runs the processes of the system and its operators' tools.
package main

func main() {}
