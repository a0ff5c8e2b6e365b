package retry

// Share returns the part of a fleet's reserve of retries that one router may
// use. Routers can be added before the share is worked out again, so that it is
// that of a fleet half as large again. least is the number of routers that is
// assumed while fewer are known.
func Share(reserve, routers, least int) int {
	return reserve / max(1, least, routers+routers/2)
}
