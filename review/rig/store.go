package rig

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/fake/opstor"
)

// Zone is the one zone of the deployment, and Host the name that clients use.
const (
	Zone = "zone-a"
	Host = "desk.example"
	// heartbeat is HeartbeatMs of the settings.
	heartbeat = 1200 * time.Millisecond
)

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	TimeoutMs, GoalMs     int
	MaxAttempts           int
	Resumable             bool
}

// Tenant is a tenant with one key. A Prepaid of zero means that it is not metered.
type Tenant struct {
	Name, Key string
	Prepaid   int
}

// Config is the operator's configuration.
type Config struct {
	Routes  []Route
	Models  []string
	Plain   []string
	Stride  int
	Tenants []Tenant
}

// Doc returns the configuration as the operator writes it.
func (co Config) Doc(version int) map[string]any {
	var routes, services, tenants []any
	for _, ro := range co.Routes {
		routes = append(routes, map[string]any{
			"Name": ro.Prefix, "Hostname": Host, "Prefix": ro.Prefix, "RouteType": ro.Kind, "TimeoutMs": ro.TimeoutMs,
			"LatencyGoalMs": ro.GoalMs, "GapAimMs": 600, "Priority": 1, "Service": ro.Service, "MaxAttempts": ro.MaxAttempts, "Resumable": ro.Resumable,
		})
	}
	for _, name := range co.Models {
		services = append(services, map[string]any{"Name": name, "MaxConns": 740, "Backend": map[string]any{"Slots": 8, "KvCapacityTokens": 280000, "Stride": co.Stride}})
	}
	for _, name := range co.Plain {
		services = append(services, map[string]any{"Name": name, "MaxConns": 220})
	}
	for _, te := range co.Tenants {
		doc := map[string]any{"Name": te.Name, "ApiKeys": []string{te.Key}, "Priority": 0}
		if te.Prepaid > 0 {
			doc["Prepaid"] = te.Prepaid
		}
		tenants = append(tenants, doc)
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// Checkin lets the engine write its entry, with the state ready, until ctx ends. It
// writes nothing while it is down.
func Checkin(ctx context.Context, st *opstor.Store, en *Engine, state func() string) {
	tk := time.NewTicker(heartbeat)
	defer tk.Stop()
	for {
		if doc := en.report(state()); doc != nil {
			st.Put("servers", en.ID(), doc)
		}
		select {
		case <-ctx.Done():
			return
		case <-tk.C:
		}
	}
}

// CheckinOnce writes the entry of the engine now.
func CheckinOnce(st *opstor.Store, en *Engine, state string) {
	if doc := en.report(state); doc != nil {
		st.Put("servers", en.ID(), doc)
	}
}

// Proxy forwards connections to an address. While it is closed, it resets them.
type Proxy struct {
	ls     net.Listener
	target string

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

// NewProxy starts a proxy on loopback.
func NewProxy(target string) (*Proxy, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	px := &Proxy{ls: ls, target: target, conns: map[net.Conn]bool{}}
	go px.accept()
	return px, nil
}

// Addr returns IP:PORT.
func (px *Proxy) Addr() string { return px.ls.Addr().String() }

// SetClosed sets whether connections are reset. Those that are open are reset too.
func (px *Proxy) SetClosed(closed bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.closed = closed
	if closed {
		for nc := range px.conns {
			reset(nc)
		}
		clear(px.conns)
	}
}

// Close ends the proxy.
func (px *Proxy) Close() {
	_ = px.ls.Close()
	px.SetClosed(true)
}

func reset(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

func (px *Proxy) accept() {
	for {
		nc, err := px.ls.Accept()
		if err != nil {
			return
		}
		go px.forward(nc)
	}
}

// add registers a connection, and reports false if the proxy is closed.
func (px *Proxy) add(nc net.Conn) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.closed {
		reset(nc)
		return false
	}
	px.conns[nc] = true
	return true
}

func (px *Proxy) forward(nc net.Conn) {
	if !px.add(nc) {
		return
	}
	up, err := net.Dial("tcp", px.target)
	if err != nil || !px.add(up) {
		reset(nc)
		return
	}
	done := make(chan struct{}, 2)
	pipe := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_ = to.Close()
		done <- struct{}{}
	}
	go pipe(up, nc)
	go pipe(nc, up)
	<-done
	<-done
	px.mu.Lock()
	delete(px.conns, nc)
	delete(px.conns, up)
	px.mu.Unlock()
}
