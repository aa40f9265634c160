package forwarder

import (
	"gentianstep.example/gentianstep/internal/failure/classifier"
	"gentianstep.example/gentianstep/internal/gateway/rationer"
)

// chargeQuota charges the request to the quota of its organisation, once for all attempts.
func (x *exchange) chargeQuota() *classifier.Error {
	if x.cfg.Rationer == nil {
		return nil
	}
	prompt := x.request.Prompt
	charge, err := x.cfg.Rationer.Admit(x.r.Context(), rationer.Request{
		Organisation: x.organisation,
		Tokens:       float64(prompt.Tokens) + float64(prompt.MaxTokens),
		Priority:     x.priority(),
		ArrivedAt:    x.arrivedAt,
		Objective:    x.route.TargetLatency,
		Deadline:     x.deadline,
	})
	x.charge = charge
	return err
}
