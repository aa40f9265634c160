package publisher

import "fmt"

// HeadKey returns the key that holds the newest version number of a deployment,
// which is small enough for every node to watch and to poll.
func HeadKey(deployment string) string {
	return "gentianstep/" + deployment + "/bundle/head"
}

// VersionKey returns the key that holds the bundle of one version for good.
func VersionKey(deployment string, version uint64) string {
	return fmt.Sprintf("gentianstep/%s/bundle/version/%016d", deployment, version)
}
