package chooser

import (
	"github.com/sirupsen/logrus"

	"gentianstep.example/gentianstep/internal/routing/selector"
	"gentianstep.example/gentianstep/internal/serving/dispatcher"
)

// logDecision logs a routing decision.
func (c *Chooser) logDecision(j dispatcher.Job, attempt int, d selector.Decision, p transferPlan, indexKnown bool) {
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
		"importable_blocks": p.importableBlocks,
		"import_blocks":     p.importBlocks,
		"export":            p.export != nil,
		"index_known":       indexKnown,
		"costs":             d.Costs,
	}).Info("routing decision")
}
