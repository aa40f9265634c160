package admitter

import "container/heap"

// element is something that knows its order and its place in an ordered heap.
type element[T any] interface {
	before(other T) bool
	setIndex(i int)
}

// ordered is a heap whose elements know their index, so that any of them can
// be removed or moved in logarithmic time.
type ordered[T element[T]] struct {
	items []T
}

// Len implements heap.Interface.
func (o *ordered[T]) Len() int { return len(o.items) }

// Less implements heap.Interface.
func (o *ordered[T]) Less(i, j int) bool { return o.items[i].before(o.items[j]) }

// Swap implements heap.Interface.
func (o *ordered[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.items[i].setIndex(i)
	o.items[j].setIndex(j)
}

// Push implements heap.Interface; callers use add.
func (o *ordered[T]) Push(x any) {
	item := x.(T)
	item.setIndex(len(o.items))
	o.items = append(o.items, item)
}

// Pop implements heap.Interface; callers use remove.
func (o *ordered[T]) Pop() any {
	var zero T
	last := len(o.items) - 1
	item := o.items[last]
	o.items[last] = zero
	o.items = o.items[:last]
	return item
}

func (o *ordered[T]) add(item T)       { heap.Push(o, item) }
func (o *ordered[T]) remove(index int) { heap.Remove(o, index) }
func (o *ordered[T]) moved(index int)  { heap.Fix(o, index) }

func (o *ordered[T]) first() (T, bool) {
	if len(o.items) == 0 {
		var zero T
		return zero, false
	}
	return o.items[0], true
}
