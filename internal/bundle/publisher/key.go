package publisher

import "fmt"

// HeadKey returns the key that holds the newest bundle of a deployment.
func HeadKey(deployment string) string {
	return "gentianstep/" + deployment + "/bundle/head"
}

// NoticeKey returns the key that holds the newest version number, which is
// small enough for every node to watch.
func NoticeKey(deployment string) string {
	return "gentianstep/" + deployment + "/bundle/notice"
}

// VersionKey returns the key that holds the bundle of one version for good.
func VersionKey(deployment string, version uint64) string {
	return fmt.Sprintf("gentianstep/%s/bundle/version/%016d", deployment, version)
}
