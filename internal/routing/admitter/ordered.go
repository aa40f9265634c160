package admitter

import "container/heap"

// heapElement is an element of an indexedHeap, which sets its current index.
type heapElement[T any] interface {
	before(other T) bool
	setIndex(i int)
}

// indexedHeap is a heap whose elements store their own index, so that any
// element can be removed or re-sorted in logarithmic time.
type indexedHeap[T heapElement[T]] struct {
	items []T
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.items[i].before(h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setIndex(i)
	h.items[j].setIndex(j)
}

// Push implements heap.Interface. Use add instead.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	item.setIndex(len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface. Use remove instead.
func (h *indexedHeap[T]) Pop() any {
	var zero T
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	return item
}

func (h *indexedHeap[T]) add(item T)       { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(index int) { heap.Remove(h, index) }
func (h *indexedHeap[T]) fix(index int)    { heap.Fix(h, index) }

func (h *indexedHeap[T]) peek() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}
