package checker

// Model is a served model with its current weights version and request limits.
type Model struct {
	Name           string `json:"name"`
	WeightsVersion string `json:"weights_version"`
	// PreviousWeightsVersion may still be served by engines that have not loaded
	// WeightsVersion yet. If empty, only WeightsVersion may be served.
	PreviousWeightsVersion string `json:"previous_weights_version,omitempty"`
	// MinReplicas is the minimum number of upstreams per region that keep the model
	// loaded.
	MinReplicas int `json:"min_replicas"`
	// ContinueElsewhere allows a broken stream to continue on another upstream,
	// from the prompt and the text already delivered to the caller.
	ContinueElsewhere bool `json:"continue_elsewhere"`
	// MaxPromptBytes is the maximum size of the prompt of a request.
	MaxPromptBytes int `json:"max_prompt_bytes"`
	// MaxTokens is the maximum number of completion tokens of a request.
	MaxTokens int `json:"max_tokens"`
}
