package chooser

import (
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
)

// log writes the line of one routing decision.
func (c *Chooser) log(j dispatcher.Job, attempt int, d selector.Decision, o offer, indexKnown bool) {
	c.cfg.Log.WithFields(logrus.Fields{
		"event":             "route",
		"request_id":        j.ID,
		"attempt":           attempt,
		"organisation":      j.Organisation.Name,
		"model":             j.Model.Name,
		"bundle_version":    j.Bundle.Version,
		"policy":            d.Policy,
		"chosen":            d.Chosen,
		"reason":            d.Reason,
		"considered":        d.Considered,
		"suspects":          d.Suspects,
		"missing_blocks":    d.MissingBlocks,
		"held_elsewhere":    d.HeldElsewhere,
		"crossing":          d.CrossRegion,
		"importable_blocks": o.importableBlocks,
		"import_blocks":     o.importBlocks,
		"export":            o.export != nil,
		"index_known":       indexKnown,
		"costs":             d.Costs,
	}).Info("routing decision")
}
