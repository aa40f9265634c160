package coordinator

// nameTable numbers the names of upstreams and scopes, so that messages hold a
// number instead of a name.
type nameTable struct {
	names   []string
	numbers map[string]int
}

func newNameTable() *nameTable { return &nameTable{numbers: make(map[string]int)} }

// number returns the number of a name, which it adds if it is new.
func (t *nameTable) number(name string) int {
	n, ok := t.numbers[name]
	if !ok {
		n = len(t.names)
		t.names = append(t.names, name)
		t.numbers[name] = n
	}
	return n
}
