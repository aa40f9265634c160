package forwarder

import "gentianstep.example/gentianstep/internal/routing/quarantiner"

// maxLoggedParts is the number of parts of a prompt that its log line names.
const maxLoggedParts = 8

// fingerprints returns what the request may have in common with others under which
// upstreams crash: the parts of its prompt, or all of it if it has none.
func (x *exchange) fingerprints() []quarantiner.Fingerprint {
	if x.fingerprintList != nil {
		return x.fingerprintList
	}
	prompt := &x.request.Prompt
	for _, part := range prompt.Parts {
		x.fingerprintList = append(x.fingerprintList, quarantiner.NewPart(prompt.Model, part.ID))
	}
	if len(prompt.Parts) == 0 {
		organisation := ""
		if x.organisation != nil {
			organisation = x.organisation.Name
		}
		x.fingerprintList = append(x.fingerprintList,
			quarantiner.NewRequest(organisation, x.request.Method, x.request.Host, x.request.Target, x.body))
	}
	return x.fingerprintList
}

// loggedParts returns the IDs of the first parts of the prompt.
func (x *exchange) loggedParts() []string {
	parts := x.request.Prompt.Parts
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}
