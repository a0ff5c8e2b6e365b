package claim

// Naive is the decision without claims: an attempt runs the call whenever no
// outcome is stored yet. Two attempts that are decided before the first outcome
// is stored both run. It is the reference for differential tests.
func Naive(ex *Record, fingerprint []byte, _ Asker) Verdict {
	switch {
	case ex == nil:
		return Run
	case !ex.Same(fingerprint):
		return KeyReused
	case ex.State == Done:
		return Replay
	default:
		return Run
	}
}
