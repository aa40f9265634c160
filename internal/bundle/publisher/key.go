package publisher

import "fmt"

// HeadKey returns the key of the head of a deployment. The head holds the newest
// version number only, so that it is small enough for every node to watch and poll.
func HeadKey(deployment string) string {
	return "gentianstep/" + deployment + "/bundle/head"
}

// VersionKey returns the key of the bundle of a version. Its value never changes.
func VersionKey(deployment string, version uint64) string {
	return fmt.Sprintf("gentianstep/%s/bundle/version/%016d", deployment, version)
}
