// Command 3 shows that engines which write the first event before they end are ended by
// a part of prompts again and again.
package main

import "github.com/balsamwood/balsamwood/review/rig"

func main() { rig.Main(rig.Deadly{Engines: 6, FirstEvent: true}.Run) }
