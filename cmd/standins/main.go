// Command standins runs small stand-ins of the platform and of back ends, for
// tests and for the demo.
package main

func main() {}
