package main

import "gentianstep.example/gentianstep/internal/failure/classifier"

// exitCode maps the kind of err to the exit code that scripts check.
func exitCode(err error) int {
	switch classifier.KindOf(err) {
	case classifier.BundleConflict:
		return exitConflict
	case classifier.InvalidRequest:
		return exitUsage
	}
	return exitFailure
}
