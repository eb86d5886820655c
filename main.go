// Mangostile is a serving layer for large numbers of LoRA adapters.
package main

import (
	"os"

	"mangostile/internal/oper/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args))
}
