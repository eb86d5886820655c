// Mangostile is a serving layer for very many LoRA adapters.
package main

import (
	"os"

	"mangostile/internal/oper/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args))
}
