package main

import "gentianstep.example/gentianstep/internal/failure/classifier"

// exitCode returns the exit code that tells a script what went wrong.
func exitCode(err error) int {
	switch classifier.KindOf(err) {
	case classifier.BundleConflict:
		return exitConflict
	case classifier.InvalidRequest:
		return exitUsage
	}
	return exitFailed
}
