package claim

// DecideWithoutClaim decides without claims: an attempt runs the call whenever
// no outcome is stored yet. Two attempts that are decided before the first
// outcome is stored both run. It is the reference for differential tests.
func DecideWithoutClaim(ex *Record, fingerprint []byte, _ Claimant) Decision {
	switch {
	case ex == nil:
		return Run
	case !ex.MatchesFingerprint(fingerprint):
		return KeyReused
	case ex.State == Done:
		return Replay
	default:
		return Run
	}
}
