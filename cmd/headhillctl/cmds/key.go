package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"headhill.example/headhill/pkg/config"
)

// keyCommand generates an API key for an organisation or a token for an operator.
// Intents and settings contain only its hash.
func keyCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make a random key and the hash that is stored of it",
		Action: func(context.Context, *cli.Command) error {
			key := "hh-" + rand.Text()
			fmt.Fprintf(out, "key    = %s\nsha256 = %s\n", key, config.HashKey(key))
			return nil
		},
	}
}
