package main

import (
	"net"
	"sync"
	"time"
)

// links carries the connections between the processes of the system, each of which is known
// to the others by a relay in front of it. It can cut one machine from all others.
type links struct {
	lock sync.Mutex
	// cut is the address of the machine that is cut off, or empty.
	cut       string
	listeners []net.Listener
}

// relayIP returns the address of the relay in front of a machine.
func (d *deployment) relayIP(zone, host int) string {
	return d.ip(zone, host+100)
}

// listen relays the connections to a port of a machine.
func (l *links) listen(relayIP, ip string, port int) error {
	listener, err := net.Listen("tcp", hostPort(relayIP, port))
	if err != nil {
		return err
	}
	l.listeners = append(l.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relay(conn, ip, port)
		}
	}()
	return nil
}

// relay passes the bytes of one connection on. A process opens its connections from its own
// address, which tells the machine at the other end.
func (l *links) relay(conn net.Conn, ip string, port int) {
	from, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	other, err := net.Dial("tcp", hostPort(ip, port))
	if err != nil {
		_ = conn.Close()
		return
	}
	done := make(chan struct{}, 2)
	copyBytes := func(to, source net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := source.Read(buffer)
			l.hold(from, ip)
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyBytes(other, conn)
	go copyBytes(conn, other)
	<-done
	_ = conn.Close()
	_ = other.Close()
}

// hold waits while two machines are cut from each other.
func (l *links) hold(a, b string) {
	for l.isCut(a, b) {
		time.Sleep(pollInterval)
	}
}

func (l *links) isCut(a, b string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.cut != "" && a != b && (l.cut == a || l.cut == b)
}

// setCut cuts a machine from all others, or none if its address is empty.
func (l *links) setCut(ip string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.cut = ip
}

func (l *links) close() {
	l.setCut("")
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
}
