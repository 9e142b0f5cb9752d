// Command protogen compiles a .proto file and writes the CodeGeneratorRequest for a
// protoc plugin to standard output, so that code is generated without protoc.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want one .proto file, got %d arguments", len(args))
	}
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), args[0])
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: args,
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	}
	out, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(out)
	return err
}
