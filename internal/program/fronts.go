package program

import (
	"log"
	"time"

	"github.com/valyala/fasthttp"

	"standpulley/internal/config"
	"standpulley/internal/front"
	"standpulley/internal/front/chat"
	"standpulley/internal/front/platform"
)

// protocol is what a front speaks with clients.
type protocol uint8

const (
	platformProtocol protocol = iota
	chatProtocol
)

// key returns the key of the configuration that has the address of the front.
func (p protocol) key() string { return [...]string{"listen", "chat.listen"}[p] }

// frontAddresses returns the addresses that a configuration serves, with their protocols.
func frontAddresses(cfg config.Config) map[string]protocol {
	addrs := map[string]protocol{}
	if cfg.Listen != "" {
		addrs[cfg.Listen] = platformProtocol
	}
	if cfg.Chat.Listen != "" {
		addrs[cfg.Chat.Listen] = chatProtocol
	}
	return addrs
}

// servedFront is a front that serves clients at one address.
type servedFront struct {
	addr     string
	protocol protocol
	server   *fasthttp.Server
	listener *front.Listener
	update   func(cfg config.Config) // passes settings on to the front
}

// newFront returns a front for an address. It is not open to clients yet.
func (s *stack) newFront(addr string, speaks protocol, cfg config.Config) (*servedFront, error) {
	f := &servedFront{addr: addr, protocol: speaks}
	if speaks == platformProtocol {
		p := platform.New(s.core, s.pool, cfg.Settings, s.chat.Ledger)
		f.server, f.update = p.Server(), func(cfg config.Config) { p.UpdateSettings(cfg.Settings) }
		return f, nil
	}
	c, err := chat.New(s.core, s.pool, cfg.Settings.Classes, s.chat, chatOptions(cfg))
	if err != nil {
		return nil, err
	}
	f.server, f.update = c.Server(), func(cfg config.Config) {
		if err := c.Update(cfg.Settings.Classes, chatOptions(cfg)); err != nil { // config has checked that each model has a class
			log.Printf("chat: %v", err)
		}
	}
	return f, nil
}

func chatOptions(cfg config.Config) chat.Options {
	return chat.Options{Models: cfg.Chat.Models, MaxOutput: cfg.Chat.MaxOutput}
}

// serve accepts clients from the port from now on.
func (f *servedFront) serve(port *front.Port) {
	f.listener = port.Attach()
	go func() {
		if err := f.server.Serve(f.listener); err != nil {
			log.Printf("front at %s: %v", f.addr, err)
		}
	}()
}

// close ends the front when the requests on its connections are answered. It gets no connections by
// then, as its port is closed or serves another front.
func (f *servedFront) close() {
	f.listener.DrainConns() // before Shutdown, which drops connections together with any request on them, read or not
	if err := f.server.Shutdown(); err != nil {
		log.Printf("front at %s: %v", f.addr, err)
	}
}

// openPorts opens the addresses of a configuration that are not open yet. On an error it opens none.
func (p *program) openPorts(cfg config.Config) (map[string]*front.Port, error) {
	opened := map[string]*front.Port{}
	for addr, speaks := range frontAddresses(cfg) {
		if p.ports[addr] != nil {
			continue
		}
		port, err := front.Listen(addr, p.limiter, p.shared)
		if err != nil {
			closePorts(opened)
			return nil, &config.Fault{Key: speaks.key(), Text: err.Error()}
		}
		opened[addr] = port
	}
	return opened, nil
}

// closePorts closes ports to which no front was attached.
func closePorts(ports map[string]*front.Port) {
	for _, port := range ports {
		port.Shutdown(0)
	}
}

// replaceFronts makes the fronts those of a configuration whose ports are open. Fronts that go on
// stay as they are; those that it lacks are retired.
func (p *program) replaceFronts(cfg config.Config) error {
	s, addrs := p.current, frontAddresses(cfg)
	next := map[string]*servedFront{}
	for addr, speaks := range addrs {
		if f := s.fronts[addr]; f != nil && f.protocol == speaks {
			next[addr] = f
			continue
		}
		f, err := s.newFront(addr, speaks, cfg)
		if err != nil {
			return err
		}
		next[addr] = f
	}
	previous := s.fronts
	s.fronts = next
	for addr, f := range next {
		if previous[addr] != f {
			f.serve(p.ports[addr])
		}
	}
	for addr, f := range previous {
		if next[addr] != f {
			p.retire(f)
		}
	}
	for addr, port := range p.ports {
		if next[addr] == nil {
			delete(p.ports, addr)
			go port.Shutdown(acceptBacklogTime)
		}
	}
	return nil
}

// retire ends a front that the configuration in force lacks. A client may be about to send a request
// on a connection that is idle now. It gets an answer that tells it to close the connection.
func (p *program) retire(f *servedFront) {
	f.listener.Retire()
	p.current.retiring.Go(func() {
		select {
		case <-time.After(handOverTime):
		case <-p.draining:
			time.Sleep(time.Until(p.sigtermAt.Add(acceptAfterTerm)))
		}
		f.close()
	})
}
