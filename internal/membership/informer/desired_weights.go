package informer

import "time"

// Weights is a desired version of a model's weights.
type Weights struct {
	Version uint64
	// Since is when the version became the desired one. It is estimated for
	// versions that were set before the process started.
	Since time.Time
	// known is false if Since is assumed because this VM learned of the version late.
	known bool
}

// DesiredWeights returns the newest desired version of each model's weights.
func (i *Informer) DesiredWeights() map[string]Weights {
	i.mu.Lock()
	defer i.mu.Unlock()
	desired := make(map[string]Weights, len(i.weights))
	for model, versions := range i.weights {
		desired[model] = versions[len(versions)-1]
	}
	return desired
}

// DesiredWeightsHistory returns the desired versions of a model's weights so
// far, the newest last.
func (i *Informer) DesiredWeightsHistory(model string) []Weights {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.weights[model]
}
