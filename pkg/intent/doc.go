// Package intent parses operators' intents and turns them into plans.
//
// An intent is INI text. Each section defines one item completely; items that the
// intent does not mention are left unchanged; "remove = yes" removes an item. A
// plan records the generation it is based on and is accepted only if that is
// still the current generation.
package intent
