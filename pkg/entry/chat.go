package entry

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// chatBody is a chat completion request. Fields that headhill does not read go
// through unchanged.
type chatBody struct {
	fields   map[string]json.RawMessage
	model    string
	stream   bool
	messages []json.RawMessage
	// maxTokens is the caller's bound on the answer, 0 if there is none.
	maxTokens int
	// choices is the number of answers asked for.
	choices int
}

// Fields of a chat completion request.
const (
	fieldModel     = "model"
	fieldStream    = "stream"
	fieldMessages  = "messages"
	fieldMaxTokens = "max_tokens"
	fieldChoices   = "n"
	fieldContinue  = "continue_final_message"
	fieldGenerate  = "add_generation_prompt"
)

// parseChat reads a request's body. The error names the field at fault.
func parseChat(body []byte) (*chatBody, error) {
	c := &chatBody{choices: 1}
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

// assistantMessage is the partial answer that an engine is to go on from.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// continued returns the body that asks an engine to go on from a partial answer
// of so many tokens, as the engines' own protocol has it.
func (c *chatBody) continued(partial string, tokens int) ([]byte, error) {
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
	fields[fieldContinue] = json.RawMessage("true")
	fields[fieldGenerate] = json.RawMessage("false")
	if c.maxTokens > 0 {
		if fields[fieldMaxTokens], err = json.Marshal(max(1, c.maxTokens-tokens)); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

const (
	// bytesPerToken is the usual size of a token, for estimates.
	bytesPerToken = 4
	// prefixBlock is the size of the first prompt prefix that is hashed; each
	// further one is twice as long.
	prefixBlock = 256
	prefixMost  = 12
)

// promptTokens estimates the size of the prompt.
func (c *chatBody) promptTokens() int {
	n := 0
	for _, m := range c.messages {
		n += len(m)
	}
	return n/bytesPerToken + 1
}

// prefixes returns hashes of ever longer prefixes of the prompt.
func (c *chatBody) prefixes() []uint64 {
	d := xxhash.New()
	// xxhash never fails to write.
	_, _ = d.WriteString(c.model)
	var hashes []uint64
	next, done := prefixBlock, 0
	for _, m := range c.messages {
		rest := []byte(m)
		for done+len(rest) >= next {
			cut := next - done
			_, _ = d.Write(rest[:cut])
			rest = rest[cut:]
			done = next
			next *= 2
			hashes = append(hashes, d.Sum64())
			if len(hashes) == prefixMost {
				return hashes
			}
		}
		_, _ = d.Write(rest)
		done += len(rest)
	}
	return hashes
}

// chunk is the part of a streamed event that headhill reads.
type chunk struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
	Error   *chunkError   `json:"error"`
}

// reset clears a chunk but keeps its memory.
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

// answerPrefix stands before the request's ID in the answer's.
const answerPrefix = "chatcmpl-"

// answer gathers what a caller has received of a streamed answer, over all the
// engines that it came from.
type answer struct {
	id       string
	text     strings.Builder
	tokens   int
	finished bool
	// opaque answers hold more than text of one choice: another engine can't go
	// on with them.
	opaque bool
	// started is set once anything went to the caller.
	started bool
}

// take notes a chunk. It returns false for a chunk that only repeats how the
// answer begins, as a continuing engine's first one does.
func (a *answer) take(c *chunk) bool {
	if len(c.Choices) != 1 {
		// Usage and the like.
		a.opaque = a.opaque || len(c.Choices) > 1
		return true
	}
	ch := &c.Choices[0]
	if ch.Index != 0 || hasValue(ch.Delta.ToolCalls) || hasValue(ch.Logprobs) {
		a.opaque = true
	}
	a.finished = a.finished || ch.FinishReason != ""
	if ch.Delta.Content != "" {
		a.text.WriteString(ch.Delta.Content)
		a.tokens++
	}
	opening := ch.Delta.Role != "" && ch.Delta.Content == "" && ch.FinishReason == ""
	return !opening || !a.started
}

func hasValue(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }
