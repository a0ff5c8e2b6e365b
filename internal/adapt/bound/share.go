package bound

const (
	// requestDivisor, responseDivisor and connDivisor divide the memory of the VM; the
	// quotients are what the bodies of requests, the bodies of responses and connections
	// without a request may take. The Go runtime may use 0.6 of the memory, of which a
	// quarter is left for everything else and for what is not collected yet.
	requestDivisor  = 5
	responseDivisor = 8
	connDivisor     = 8
	// connMemory is what a connection without a request takes at most.
	connMemory = 48 << 10
	// reservedFDs is the number of file descriptors that are kept for files.
	reservedFDs = 200
	// connShare is the share of the other descriptors for connections of callers. Each
	// request in progress needs another one for its upstream. idleShare is the share for
	// idle connections to upstreams. What is left is for second attempts, the store and
	// other routers.
	connShare = 0.4
	idleShare = 0.1
	// minConns is the least bound of connections.
	minConns = 16
	megabyte = 1e6
)

// Shares are the parts of a VM's memory and descriptors. Zero stands for no bound.
type Shares struct {
	// RequestBytes and ResponseBytes are for the bodies of requests and responses.
	RequestBytes, ResponseBytes int64
	// Conns is for connections of callers, and IdleConns for idle ones to upstreams.
	Conns, IdleConns int
}

// SharesOf divides a VM's memory in megabytes and its descriptors. Zero stands for no
// bound.
func SharesOf(memoryMB float64, maxFDs int) Shares {
	memory := memoryMB * megabyte
	sh := Shares{RequestBytes: int64(memory / requestDivisor), ResponseBytes: int64(memory / responseDivisor)}
	if memory > 0 {
		sh.Conns = max(minConns, int(memory/connDivisor/connMemory))
	}
	if maxFDs > 0 {
		sockets := float64(maxFDs - reservedFDs)
		byFDs := max(minConns, int(sockets*connShare))
		if sh.Conns == 0 || byFDs < sh.Conns {
			sh.Conns = byFDs
		}
		sh.IdleConns = max(minConns, int(sockets*idleShare))
	}
	return sh
}
