package caller

import "strconv"

// importBlocksHeader returns the value of encoder.HeaderImportBlocks, empty if no
// import is requested.
func importBlocksHeader(call Call) string {
	if call.ImportBlocks <= 0 {
		return ""
	}
	return strconv.Itoa(call.ImportBlocks)
}

// exportHeader returns the value of encoder.HeaderExport, empty if no export is
// requested.
func exportHeader(call Call) string {
	if !call.Export {
		return ""
	}
	return "true"
}
