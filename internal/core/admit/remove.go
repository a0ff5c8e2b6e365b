package admit

import "slices"

// Remove removes the first entry whose item matches, for example because its
// caller has disconnected, and reports whether there was one.
func (qu *Queue[T]) Remove(match func(item T) bool) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for ix := range qu.classes {
		cq := &qu.classes[ix]
		for _, aq := range cq.accounts {
			at := slices.IndexFunc(aq.entries, func(en Entry[T]) bool { return match(en.Item) })
			if at < 0 {
				continue
			}
			aq.entries = slices.Delete(aq.entries, at, at+1)
			cq.removeEmpty()
			qu.size--
			return true
		}
	}
	return false
}
