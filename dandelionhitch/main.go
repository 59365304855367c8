// Command dandelionhitch is a layer-4 load balancer for small operators.
package main

func main() {}
