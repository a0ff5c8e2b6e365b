package escrow

// LeaseRow is the row of a holder that keeps the locked tokens of all its grants
// locked. One write of it extends all locks. It is immutable.
type LeaseRow struct {
	// Until is the end of the lease in milliseconds of the store's clock.
	Until int64 `json:"until"`
}
