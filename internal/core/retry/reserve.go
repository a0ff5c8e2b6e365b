package retry

// ReservePerRouter returns the part of a fleet's reserve of retries that one
// router may use. It is computed for a fleet half as large again, because
// routers may be added before the share is recomputed. least is the number of
// routers that is assumed if fewer are known.
func ReservePerRouter(reserve, routers, least int) int {
	return reserve / max(1, least, routers+routers/2)
}
