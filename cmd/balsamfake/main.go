// Command balsamfake is not composed yet.
package main

func main() {}
