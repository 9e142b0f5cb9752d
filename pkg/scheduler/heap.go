package scheduler

import "container/heap"

// indexed is an item that remembers its place in each heap it stands in.
type indexed interface {
	place(heap int) *int
}

// prioHeap is a binary heap with removal and reordering of any member.
type prioHeap[T indexed] struct {
	items []T
	which int
	less  func(a, b T) bool
}

func newHeap[T indexed](which int, less func(a, b T) bool) *prioHeap[T] {
	return &prioHeap[T]{which: which, less: less}
}

// Len, Less, Swap, Push and Pop implement container/heap.Interface.
func (h *prioHeap[T]) Len() int           { return len(h.items) }
func (h *prioHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *prioHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].place(h.which) = i + 1
	*h.items[j].place(h.which) = j + 1
}
func (h *prioHeap[T]) Push(x any) {
	t := x.(T)
	h.items = append(h.items, t)
	*t.place(h.which) = len(h.items)
}
func (h *prioHeap[T]) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*t.place(h.which) = 0
	return t
}

// has tells whether t stands in the heap. Places are kept one-based, so that
// the zero value means absent.
func (h *prioHeap[T]) has(t T) bool { return *t.place(h.which) > 0 }

func (h *prioHeap[T]) add(t T) {
	if h.has(t) {
		heap.Fix(h, *t.place(h.which)-1)
		return
	}
	heap.Push(h, t)
}

func (h *prioHeap[T]) remove(t T) {
	if h.has(t) {
		heap.Remove(h, *t.place(h.which)-1)
	}
}

func (h *prioHeap[T]) fix(t T) {
	if h.has(t) {
		heap.Fix(h, *t.place(h.which)-1)
	}
}

// min returns the first item; ok is false when the heap is empty.
func (h *prioHeap[T]) min() (t T, ok bool) {
	if len(h.items) == 0 {
		return t, false
	}
	return h.items[0], true
}
