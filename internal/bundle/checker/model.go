package checker

// Model is a model in steady use with the weights version that serves it.
type Model struct {
	Name           string `json:"name"`
	WeightsVersion string `json:"weights_version"`
	// PreviousWeightsVersion may still be served by engines that do not have
	// WeightsVersion ready yet; empty allows WeightsVersion alone.
	PreviousWeightsVersion string `json:"previous_weights_version,omitempty"`
	// MinReplicas is the number of upstreams of each region that keep it loaded.
	MinReplicas int `json:"min_replicas"`
	// ContinueElsewhere allows a broken stream to go on at another upstream
	// from the prompt and the text that the caller already has.
	ContinueElsewhere bool `json:"continue_elsewhere"`
	// MaxPromptBytes limits the prompt of one request.
	MaxPromptBytes int `json:"max_prompt_bytes"`
	// MaxTokens limits the answer of one request.
	MaxTokens int `json:"max_tokens"`
}
