package entry

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// chatRequest is a chat completion request. Fields that headhill does not interpret
// are forwarded unchanged.
type chatRequest struct {
	fields   map[string]json.RawMessage
	model    string
	stream   bool
	messages []json.RawMessage
	// maxTokens is the caller's limit on the answer, 0 if there is none.
	maxTokens int
	// choices is the number of completions requested.
	choices int
}

// Fields of a chat completion request.
const (
	fieldModel                = "model"
	fieldStream               = "stream"
	fieldMessages             = "messages"
	fieldMaxTokens            = "max_tokens"
	fieldChoices              = "n"
	fieldContinueFinalMessage = "continue_final_message"
	fieldAddGenerationPrompt  = "add_generation_prompt"
)

// parseChatRequest parses a request body. The error names the invalid field.
func parseChatRequest(body []byte) (*chatRequest, error) {
	c := &chatRequest{choices: 1}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, badRequest("the body is no JSON object: %v", err)
	}
	for _, f := range []struct {
		name     string
		to       any
		required bool
	}{
		{fieldModel, &c.model, true},
		{fieldMessages, &c.messages, true},
		{fieldStream, &c.stream, false},
		{fieldMaxTokens, &c.maxTokens, false},
		{fieldChoices, &c.choices, false},
	} {
		raw, ok := c.fields[f.name]
		if !ok && f.required {
			return nil, badRequest("the field %q is missing", f.name)
		}
		if !ok || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
			return nil, badRequest("the field %q is wrong: %v", f.name, err)
		}
	}
	if len(c.messages) == 0 {
		return nil, badRequest("the field %q is empty", fieldMessages)
	}
	if c.maxTokens < 0 || c.choices < 1 {
		return nil, badRequest("the fields %q and %q must be positive", fieldMaxTokens, fieldChoices)
	}
	return c, nil
}

// assistantMessage is the partial answer that an engine continues.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continuationBody returns the request body that makes an engine continue a partial
// answer of the given number of tokens.
func (c *chatRequest) continuationBody(partial string, tokens int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+2)
	for k, v := range c.fields {
		fields[k] = v
	}
	last, err := json.Marshal(assistantMessage{Role: "assistant", Content: partial})
	if err != nil {
		return nil, err
	}
	messages := append(append([]json.RawMessage(nil), c.messages...), last)
	if fields[fieldMessages], err = json.Marshal(messages); err != nil {
		return nil, err
	}
	fields[fieldContinueFinalMessage] = json.RawMessage("true")
	fields[fieldAddGenerationPrompt] = json.RawMessage("false")
	if c.maxTokens > 0 {
		if fields[fieldMaxTokens], err = json.Marshal(max(1, c.maxTokens-tokens)); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

const (
	// bytesPerToken is the average token size assumed by estimates.
	bytesPerToken = 4
	// minPrefixBytes is the length of the shortest prompt prefix that is hashed; each
	// further prefix is twice as long.
	minPrefixBytes  = 256
	maxPrefixHashes = 12
)

// estimatePromptTokens estimates the prompt length in tokens.
func (c *chatRequest) estimatePromptTokens() int {
	n := 0
	for _, m := range c.messages {
		n += len(m)
	}
	return n/bytesPerToken + 1
}

// prefixHashes returns the hashes of successively longer prompt prefixes.
func (c *chatRequest) prefixHashes() []uint64 {
	d := xxhash.New()
	// Writing to an xxhash digest never fails.
	_, _ = d.WriteString(c.model)
	var hashes []uint64
	boundary, hashed := minPrefixBytes, 0
	for _, m := range c.messages {
		rest := []byte(m)
		for hashed+len(rest) >= boundary {
			n := boundary - hashed
			_, _ = d.Write(rest[:n])
			rest = rest[n:]
			hashed = boundary
			boundary *= 2
			hashes = append(hashes, d.Sum64())
			if len(hashes) == maxPrefixHashes {
				return hashes
			}
		}
		_, _ = d.Write(rest)
		hashed += len(rest)
	}
	return hashes
}

// chunk holds the fields of a streamed event that headhill interprets.
type chunk struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
	Error   *chunkError   `json:"error"`
}

// reset clears a chunk and keeps the capacity of its slice.
func (c *chunk) reset() {
	clear(c.Choices)
	*c = chunk{Choices: c.Choices[:0]}
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        chunkDelta      `json:"delta"`
	FinishReason string          `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type chunkDelta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

type chunkError struct {
	Message string `json:"message"`
}

// answerIDPrefix precedes the request ID in the ID of an answer.
const answerIDPrefix = "chatcmpl-"

// answer accumulates the streamed answer that was sent to a caller, across all
// engines that contributed to it.
type answer struct {
	id         string
	text       strings.Builder
	tokenCount int
	complete   bool
	// nonResumable is set when the answer holds more than the text of one choice, so
	// that another engine can't continue it.
	nonResumable bool
	// responseStarted is set once anything was sent to the caller.
	responseStarted bool
}

// addChunk adds a chunk to the answer. It returns false for a chunk that must not be
// forwarded: an engine that continues an answer sends the initial role again.
func (a *answer) addChunk(c *chunk) bool {
	if len(c.Choices) != 1 {
		// Events without choices carry usage statistics.
		a.nonResumable = a.nonResumable || len(c.Choices) > 1
		return true
	}
	ch := &c.Choices[0]
	if ch.Index != 0 || isSet(ch.Delta.ToolCalls) || isSet(ch.Logprobs) {
		a.nonResumable = true
	}
	a.complete = a.complete || ch.FinishReason != ""
	if ch.Delta.Content != "" {
		a.text.WriteString(ch.Delta.Content)
		a.tokenCount++
	}
	roleOnly := ch.Delta.Role != "" && ch.Delta.Content == "" && ch.FinishReason == ""
	return !roleOnly || !a.responseStarted
}

func isSet(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }
