package link

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval bounds how long an idle connection can be dead without
	// notice. One ping and its answer are 24 bytes of payload.
	keepAliveInterval = 2 * time.Second
	// writeTimeout ends a session whose peer takes no data.
	writeTimeout = 3 * time.Second
	// streamWindow bounds what one slow reader can make the peer buffer.
	streamWindow = 256 << 10
	// acceptBacklog bounds streams that the peer opened and nobody accepted.
	acceptBacklog = 1024
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = streamWindow
	cfg.AcceptBacklog = acceptBacklog
	cfg.LogOutput = io.Discard
	return cfg
}

func serverSession(nc net.Conn) (*yamux.Session, error) {
	return yamux.Server(nc, sessionConfig())
}

func clientSession(nc net.Conn) (*yamux.Session, error) {
	return yamux.Client(nc, sessionConfig())
}
