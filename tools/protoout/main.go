// Command protoout reads the CodeGeneratorResponse of a protoc plugin from standard
// input and writes the files that it contains.
package main

import (
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "protoout:", err)
		os.Exit(1)
	}
}

func run() error {
	in, err := io.ReadAll(os.Stdin)
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(in, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("code generator failed: %s", response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
