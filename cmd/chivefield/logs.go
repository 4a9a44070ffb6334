package main

import (
	"io"
	"os"
)

// openLogs returns a reader of the concatenated log files, or standard input if paths is
// empty. closeAll closes the files.
func openLogs(paths []string) (in io.Reader, closeAll func(), err error) {
	if len(paths) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	var readers []io.Reader
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files, readers = append(files, f), append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
