package announcer

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/roster"
)

// slot sends the heartbeats to the keeper at one position of the plan.
type slot struct {
	announcer *Announcer
	index     int
	// wake triggers an immediate heartbeat.
	wake chan struct{}
}

// loop sends heartbeats until the announcer stops.
func (s *slot) loop() error {
	a := s.announcer
	wait := keeper.HeartbeatInterval * time.Duration(s.index) / roster.KeeperCount
	for {
		select {
		case <-time.After(wait):
		case <-s.wake:
		case <-a.tomb.Dying():
			return nil
		}
		wait = s.sendHeartbeat()
	}
}

// sendHeartbeat sends one heartbeat, handles its reply, and returns the delay
// before the next one.
func (s *slot) sendHeartbeat() time.Duration {
	a := s.announcer
	addr, request := s.nextRequest()
	ctx, cancel := context.WithTimeout(a.tomb.Context(context.Background()), _heartbeatTimeout)
	defer cancel()
	reply := &keeper.HeartbeatReply{}
	sentAt := time.Now()
	a.counts.heartbeats.Add(1)
	if err := a.client.Call(ctx, addr, keeper.MethodHeartbeat, request, reply); err != nil {
		a.counts.failures.Add(1)
		a.options.logger.Debug("heartbeat failed", zap.Stringer("keeper", addr), zap.Error(err))
		a.mu.Lock()
		a.plan.recordFailure(a.now(), addr)
		a.mu.Unlock()
		return a.jitter(_retryInterval)
	}
	a.handleReply(addr, request, sentAt, reply)()
	a.reportRevision(reply.Revision, addr)
	a.mu.Lock()
	acknowledged := a.acknowledged(addr)
	a.mu.Unlock()
	if !acknowledged {
		return a.jitter(_retryInterval)
	}
	return s.untilNextTick()
}

// nextRequest returns the slot's keeper and the heartbeat to send to it. If there
// are fewer keepers than slots, several slots send to the same keeper, so that the
// rate of heartbeats, and with it the time to refute a suspicion, stays the same.
func (s *slot) nextRequest() (netip.AddrPort, *keeper.HeartbeatRequest) {
	a := s.announcer
	a.mu.Lock()
	defer a.mu.Unlock()
	keepers := a.plan.keepers(a.now())
	addr := keepers[s.index%len(keepers)]
	request := &keeper.HeartbeatRequest{
		Data:        a.self.Data,
		Incarnation: a.self.Incarnation,
		Seq:         a.self.Seq,
		Load:        a.loadPercent,
		Choices:     keeper.ChoicesHash(a.plan.choices),
		WantPeers:   s.index == 0,
		Revision:    a.options.revision(),
	}
	if !a.acknowledged(addr) {
		record := a.self
		request.Record = &record
	}
	return addr, request
}

// untilNextTick returns the time until the slot's next tick. The ticks of the
// slots are evenly spaced within keeper.HeartbeatInterval.
func (s *slot) untilNextTick() time.Duration {
	a := s.announcer
	offset := keeper.HeartbeatInterval * time.Duration(s.index) / roster.KeeperCount
	phase := (a.now() - offset) % keeper.HeartbeatInterval
	if phase < 0 {
		phase += keeper.HeartbeatInterval
	}
	return keeper.HeartbeatInterval - phase
}
