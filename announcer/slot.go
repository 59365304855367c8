package announcer

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/roster"
)

// slot sends the heartbeats to one of the keepers.
type slot struct {
	announcer *Announcer
	number    int
	// wake has the next heartbeat sent at once.
	wake chan struct{}
}

// loop sends heartbeats.
func (s *slot) loop() error {
	a := s.announcer
	wait := keeper.HeartbeatInterval * time.Duration(s.number) / roster.KeeperCount
	for {
		select {
		case <-time.After(wait):
		case <-s.wake:
		case <-a.tomb.Dying():
			return nil
		}
		wait = s.beat()
	}
}

// beat sends a heartbeat and returns how long to wait for the next one.
func (s *slot) beat() time.Duration {
	a := s.announcer
	addr, request := s.next()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), _callTimeout)
	defer cancel()
	reply := &keeper.HeartbeatReply{}
	sent := time.Now()
	a.counts.heartbeats.Add(1)
	if err := a.client.Call(ctx, addr, keeper.MethodHeartbeat, request, reply); err != nil {
		a.counts.failures.Add(1)
		a.options.logger.Debug("heartbeat failed", zap.Stringer("keeper", addr), zap.Error(err))
		a.mu.Lock()
		a.plan.failed(a.now(), addr)
		a.mu.Unlock()
		return a.spread(_retryInterval)
	}
	a.take(addr, request, sent, reply)()
	a.offerRevision(reply.Revision, addr)
	a.mu.Lock()
	told := a.acknowledged(addr)
	a.mu.Unlock()
	if !told {
		return a.spread(_retryInterval)
	}
	return s.aligned()
}

// next returns the slot's keeper and the heartbeat for it. Where there are fewer
// keepers than slots, they share, so that a suspicion is refuted as soon.
func (s *slot) next() (netip.AddrPort, *keeper.HeartbeatRequest) {
	a := s.announcer
	a.mu.Lock()
	defer a.mu.Unlock()
	keepers := a.plan.keepers(a.now())
	addr := keepers[s.number%len(keepers)]
	request := &keeper.HeartbeatRequest{
		Data:        a.self.Data,
		Incarnation: a.self.Incarnation,
		Seq:         a.self.Seq,
		Load:        a.percent,
		Choices:     keeper.ChoicesHash(a.plan.choices),
		WantPeers:   s.number == 0,
		Revision:    a.options.revision(),
	}
	if !a.acknowledged(addr) {
		record := a.self
		request.Record = &record
	}
	return addr, request
}

// aligned returns the time to the slot's next turn, by which the heartbeats of
// the slots stay evenly spaced.
func (s *slot) aligned() time.Duration {
	a := s.announcer
	offset := keeper.HeartbeatInterval * time.Duration(s.number) / roster.KeeperCount
	phase := (a.now() - offset) % keeper.HeartbeatInterval
	if phase < 0 {
		phase += keeper.HeartbeatInterval
	}
	return keeper.HeartbeatInterval - phase
}
