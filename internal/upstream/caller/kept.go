package caller

import "strconv"

// importBlocks returns the header's value, empty where nothing is asked for.
func importBlocks(call Call) string {
	if call.ImportBlocks <= 0 {
		return ""
	}
	return strconv.Itoa(call.ImportBlocks)
}

// export returns the header's value, empty where nothing is asked for.
func export(call Call) string {
	if !call.Export {
		return ""
	}
	return "true"
}
