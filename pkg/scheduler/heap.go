package scheduler

import "container/heap"

// heapItem is an item that stores its position in each heap that contains it. Positions
// are one-based, so that the zero value means absent.
type heapItem interface {
	position(heap int) *int
}

// indexedHeap is a binary heap that supports removing and reordering arbitrary items.
type indexedHeap[T heapItem] struct {
	items  []T
	heapID int
	less   func(a, b T) bool
}

func newHeap[T heapItem](heapID int, less func(a, b T) bool) *indexedHeap[T] {
	return &indexedHeap[T]{heapID: heapID, less: less}
}

// Len, Less, Swap, Push and Pop implement container/heap.Interface.
func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].position(h.heapID) = i + 1
	*h.items[j].position(h.heapID) = j + 1
}
func (h *indexedHeap[T]) Push(x any) {
	t := x.(T)
	h.items = append(h.items, t)
	*t.position(h.heapID) = len(h.items)
}
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	t := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*t.position(h.heapID) = 0
	return t
}

func (h *indexedHeap[T]) has(t T) bool { return *t.position(h.heapID) > 0 }

func (h *indexedHeap[T]) add(t T) {
	if h.has(t) {
		heap.Fix(h, *t.position(h.heapID)-1)
		return
	}
	heap.Push(h, t)
}

func (h *indexedHeap[T]) remove(t T) {
	if h.has(t) {
		heap.Remove(h, *t.position(h.heapID)-1)
	}
}

func (h *indexedHeap[T]) fix(t T) {
	if h.has(t) {
		heap.Fix(h, *t.position(h.heapID)-1)
	}
}

// min returns the first item; ok is false if the heap is empty.
func (h *indexedHeap[T]) min() (t T, ok bool) {
	if len(h.items) == 0 {
		return t, false
	}
	return h.items[0], true
}
