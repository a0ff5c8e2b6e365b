// Command balsamwood is not composed yet.
package main

func main() {}
