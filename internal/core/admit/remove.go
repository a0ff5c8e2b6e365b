package admit

import "slices"

// Remove removes the first entry whose item matches, for example because its
// caller has gone, and reports whether there was one.
func (qu *Queue[T]) Remove(match func(item T) bool) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	for ix := range qu.lanes {
		la := &qu.lanes[ix]
		for _, sh := range la.shares {
			at := slices.IndexFunc(sh.entries, func(en Entry[T]) bool { return match(en.Item) })
			if at < 0 {
				continue
			}
			sh.entries = slices.Delete(sh.entries, at, at+1)
			la.prune()
			qu.size--
			return true
		}
	}
	return false
}
