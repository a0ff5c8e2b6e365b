// Command balsambench is not composed yet.
package main

func main() {}
