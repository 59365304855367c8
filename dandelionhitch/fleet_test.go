package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"dandelionhitch.example/keeper"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/service"
	"dandelionhitch.example/standin"
)

// _testTimeout bounds each wait, so that a missing answer fails the test.
const _testTimeout = 20 * time.Second

// startFleet starts 2 balancers and 2 agents of one service in this process.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	layout, err := newPlan("akl", []service.Place{"akl-a"}, 2, plannedService{name: "orders", hosts: 2, slots: 2})
	assert.NilError(t, err)
	t.Cleanup(func() { layout.Close() })
	f, err := newFleet(t.Context(), layout, tryValues(_tryFlowLimit), zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	assert.NilError(t, f.startBalancers())
	assert.NilError(t, f.startAgents(t.Context()))
	assert.NilError(t, f.awaitServing(t.Context()))
	return f
}

func (f *fleet) mustDial(t *testing.T) *standin.Caller {
	t.Helper()
	s := f.plan.services[0]
	ctx, cancel := context.WithTimeout(t.Context(), _testTimeout)
	defer cancel()
	caller, err := standin.Dial(ctx, s.name, s.address, f.callerTLS())
	assert.NilError(t, err)
	t.Cleanup(caller.Close)
	return caller
}

func mustRequest(t *testing.T, caller *standin.Caller, number uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), _testTimeout)
	defer cancel()
	answer, err := caller.Do(ctx, standin.Request{Number: number, Path: standin.PathShort, Download: 1000})
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
}

// setKeys changes the key file and sets the resulting keys on every node.
func (f *fleet) setKeys(t *testing.T, change func(*keyFile, uint8) error, number uint8) {
	t.Helper()
	var file keyFile
	assert.NilError(t, json.Unmarshal(f.keyData, &file))
	assert.NilError(t, change(&file, number))
	var out bytes.Buffer
	assert.NilError(t, file.print(&out))
	f.keyData = out.Bytes()
	parsed, err := parseKeys(f.keyData)
	assert.NilError(t, err)
	for _, a := range f.agents {
		a.setKeys(parsed)
	}
	for _, b := range f.balancers {
		b.setKeys(parsed)
	}
}

// TestFlowsSurviveKeyRotation adds a key and puts it in use. An open flow must survive,
// and new flows must be accepted.
func TestFlowsSurviveKeyRotation(t *testing.T) {
	f := startFleet(t)
	before := f.mustDial(t)
	mustRequest(t, before, 1)
	f.setKeys(t, addKey, 0)
	mustRequest(t, before, 2)
	f.setKeys(t, useKey, 2)
	mustRequest(t, before, 3)
	mustRequest(t, f.mustDial(t), 4)
}

// TestFleetServesDuringPlatformOutage makes the platform unreachable. Open flows must
// survive, new ones must be accepted, and a settings change made after the outage must
// come into force everywhere.
func TestFleetServesDuringPlatformOutage(t *testing.T) {
	f := startFleet(t)
	before := f.mustDial(t)
	f.platform.SetFaults(standin.PlatformFaults{Outage: true})
	mustRequest(t, before, 1)
	mustRequest(t, f.mustDial(t), 2)
	f.platform.SetFaults(standin.PlatformFaults{})
	raised, lower := tryValues(2*_tryFlowLimit), tryValues(_tryFlowLimit)
	edits := f.plan.edits(raised)[:1]
	edits[0].Before = &lower
	assert.NilError(t, f.submitEdits(t.Context(), "after the outage", edits...))
	_, ok := f.awaitRevision(t.Context(), time.Minute)
	assert.Assert(t, ok)
	mustRequest(t, before, 3)
}

// TestOpenFlowsSurviveServiceRemoval removes a service from the settings while it has an
// open flow. The flow must survive, and no new flow may open.
func TestOpenFlowsSurviveServiceRemoval(t *testing.T) {
	f := startFleet(t)
	caller := f.mustDial(t)
	mustRequest(t, caller, 1)
	edit := f.plan.edits(tryValues(_tryFlowLimit))[1]
	edit.Before, edit.After = edit.After, nil
	assert.NilError(t, f.submitEdits(t.Context(), "closed", edit))
	_, ok := f.awaitRevision(t.Context(), time.Minute)
	assert.Assert(t, ok)
	mustRequest(t, caller, 2)
	s := f.plan.services[0]
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := standin.Dial(ctx, s.name, s.address, f.callerTLS())
	assert.Assert(t, err != nil, "a flow was opened to a removed service")
	mustRequest(t, caller, 3)
}

// TestRequestsSucceedUnderDatagramLoss sends requests while the fabric drops 10 % of the
// datagrams to the balancers. Every request must be answered.
func TestRequestsSucceedUnderDatagramLoss(t *testing.T) {
	f := startFleet(t)
	f.fabric.SetLoss(0.1)
	caller := f.mustDial(t)
	for number := range uint64(10) {
		mustRequest(t, caller, number)
	}
}

// TestAgentStopsWhenLaterIncarnationIsKnown announces to the keepers a later run at the
// address of a serving agent, as happens if the agent's clock was set back before its
// start. Balancers end flows of the lower incarnation, so the agent must stop, and a new
// run must start with a higher incarnation and serve.
func TestAgentStopsWhenLaterIncarnationIsKnown(t *testing.T) {
	f := startFleet(t)
	old := f.agents[0]
	record := old.announcer.Self()
	record.Incarnation, record.Seq = record.Incarnation.After(record.Incarnation+1000), 1
	ctx, cancel := context.WithTimeout(t.Context(), _testTimeout)
	defer cancel()
	for _, balancer := range f.plan.balancers {
		var reply keeper.HeartbeatReply
		assert.NilError(t, f.agents[1].control.client.Call(ctx, balancer.control, keeper.MethodHeartbeat, &keeper.HeartbeatRequest{
			Data: record.Data, Incarnation: record.Incarnation, Seq: record.Seq, Record: &record,
		}, &reply))
	}
	select {
	case <-old.tomb.Dying():
	case <-ctx.Done():
		t.Fatal("the agent still runs under a superseded incarnation")
	}
	assert.ErrorContains(t, old.Close(), "its incarnation is superseded")
	f.agents = f.agents[1:]
	cert, err := f.authority.issue("orders")
	assert.NilError(t, err)
	node, err := newAgentNode(ctx, f.plan.hosts[0].config, f.resources, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13})
	assert.NilError(t, err)
	f.agents = append(f.agents, node)
	assert.Assert(t, node.announcer.Self().Incarnation > record.Incarnation)
	assert.NilError(t, f.awaitServing(ctx))
	for number := range uint64(4) {
		mustRequest(t, f.mustDial(t), number)
	}
}

// TestEndIsConfirmedAfterAddressPassedToAnotherService guards against a share of the flow
// limit that stays withheld, for up to a week, after an agent of another service has got the
// address of a run that ended.
func TestEndIsConfirmedAfterAddressPassedToAnotherService(t *testing.T) {
	f := startFleet(t)
	old := f.agents[0].announcer.Self()
	assert.NilError(t, f.agents[0].Close())
	f.agents = f.agents[1:]
	later := old
	later.Service, later.Name, later.State = old.Service+1, "photos", service.Serving
	later.Incarnation, later.Seq = old.Incarnation.After(old.Incarnation), 1
	ctx, cancel := context.WithTimeout(t.Context(), _testTimeout)
	defer cancel()
	for _, balancer := range f.plan.balancers {
		var reply keeper.HeartbeatReply
		assert.NilError(t, f.agents[0].control.client.Call(ctx, balancer.control, keeper.MethodHeartbeat, &keeper.HeartbeatRequest{
			Data: later.Data, Incarnation: later.Incarnation, Seq: later.Seq, Record: &later,
		}, &reply))
	}
	for incarnation, ended := range map[service.Incarnation]bool{old.Incarnation: true, later.Incarnation: false} {
		gone, err := f.agents[0].confirmGone(ctx, limit.Run{Address: old.Data, Incarnation: incarnation})
		assert.NilError(t, err)
		assert.Equal(t, gone, ended, "incarnation %d", incarnation)
	}
}
