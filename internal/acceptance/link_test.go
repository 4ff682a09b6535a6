package acceptance

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/sirupsen/logrus"
)

// link is a proxy in front of one process that injects network faults.
type link struct {
	t        *testing.T
	name     string
	listen   string
	upstream string
	proxy    *toxiproxy.Proxy
}

func newLink(t *testing.T, name, upstream string) *link {
	t.Helper()
	logrus.SetLevel(logrus.PanicLevel)
	l := &link{t: t, name: name, upstream: upstream}
	err := errors.New("no port was tried")
	// Another test run can take the port after freeAddress has found it free.
	for range linkTries {
		l.listen = freeAddress(t)
		if err = l.start(); err == nil {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.proxy.Stop() })
	return l
}

// linkTries bounds how many ports a new link tries.
const linkTries = 5

// reopenTime bounds how long a link tries to listen on its address again. A
// process that a parallel subtest is starting holds a copy of the listener from
// fork to exec.
const reopenTime = 2 * time.Second

// open starts the proxy again on the address of the link.
func (l *link) open() {
	l.t.Helper()
	err := l.start()
	for deadline := time.Now().Add(reopenTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(deadline); err = l.start() {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		l.t.Fatal(err)
	}
}

func (l *link) start() error {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, l.listen, l.upstream
	if err := p.Start(); err != nil {
		return err
	}
	l.proxy = p
	return nil
}

func (l *link) address() string { return l.listen }

// partition silently drops all data in both directions; connections stay open.
func (l *link) partition() {
	l.t.Helper()
	l.addToxic("cut_up", "timeout", "upstream", `{"timeout":0}`)
	l.addToxic("cut_down", "timeout", "downstream", `{"timeout":0}`)
}

// dropResponses drops the responses of the process; requests still reach it.
func (l *link) dropResponses() {
	l.t.Helper()
	l.addToxic("cut_down", "timeout", "downstream", `{"timeout":0}`)
}

// delay delays data in both directions.
func (l *link) delay(ms int) {
	l.t.Helper()
	l.addToxic("delay_up", "latency", "upstream", fmt.Sprintf(`{"latency":%d}`, ms))
	l.addToxic("delay_down", "latency", "downstream", fmt.Sprintf(`{"latency":%d}`, ms))
}

// delaySome delays data on about half of the connections, so that a later
// message overtakes an earlier one on another connection.
func (l *link) delaySome(ms int) {
	l.t.Helper()
	l.addToxicToShare(0.5, "delay_some", "latency", "upstream", fmt.Sprintf(`{"latency":%d}`, ms))
}

// closeAfter closes connections after the given number of response bytes.
func (l *link) closeAfter(bytes int) {
	l.t.Helper()
	l.addToxic("limit", "limit_data", "downstream", fmt.Sprintf(`{"bytes":%d}`, bytes))
}

// heal removes all faults. It closes the connections, since a partition has
// dropped bytes in the middle of their streams. It starts a new proxy, because
// removing a toxic blocks until its delayed data is delivered.
func (l *link) heal() {
	l.t.Helper()
	l.proxy.Stop()
	l.open()
}

func (l *link) addToxic(name, kind, stream, attributes string) {
	l.t.Helper()
	l.addToxicToShare(1, name, kind, stream, attributes)
}

// addToxicToShare adds a fault to the given share of the connections, 0 to 1.
func (l *link) addToxicToShare(share float64, name, kind, stream, attributes string) {
	l.t.Helper()
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":%v,"attributes":%s}`, name, kind, stream, share, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		l.t.Fatal(err)
	}
}
