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
	"dandelionhitch.example/service"
	"dandelionhitch.example/standin"
)

// _testTimeout ends a test that would else wait for an answer that never comes.
const _testTimeout = 20 * time.Second

// startFleet starts 2 balancers and 2 hosts of one service in this process.
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

func (f *fleet) dialTest(t *testing.T) *standin.Caller {
	t.Helper()
	s := f.plan.services[0]
	ctx, cancel := context.WithTimeout(t.Context(), _testTimeout)
	defer cancel()
	caller, err := standin.Dial(ctx, s.name, s.address, f.callerTLS())
	assert.NilError(t, err)
	t.Cleanup(caller.Close)
	return caller
}

func requestTest(t *testing.T, caller *standin.Caller, number uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), _testTimeout)
	defer cancel()
	answer, err := caller.Do(ctx, standin.Work{Number: number, Path: standin.PathShort, Download: 1000})
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
}

// setKeys brings a changed key file to every process.
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

// TestFlowsSurviveAKeyRotation adds a key and puts it in use. A flow from
// before must go on, and new ones must be taken.
func TestFlowsSurviveAKeyRotation(t *testing.T) {
	f := startFleet(t)
	before := f.dialTest(t)
	requestTest(t, before, 1)
	f.setKeys(t, addKey, 0)
	requestTest(t, before, 2)
	f.setKeys(t, useKey, 2)
	requestTest(t, before, 3)
	requestTest(t, f.dialTest(t), 4)
}

// TestFleetServesThroughAPlatformOutage cuts the platform off. Flows from
// before go on, new ones are taken, and a settings change made afterwards is in
// force everywhere.
func TestFleetServesThroughAPlatformOutage(t *testing.T) {
	f := startFleet(t)
	before := f.dialTest(t)
	f.platform.SetFaults(standin.PlatformFaults{Outage: true})
	requestTest(t, before, 1)
	requestTest(t, f.dialTest(t), 2)
	f.platform.SetFaults(standin.PlatformFaults{})
	raised, lower := tryValues(2*_tryFlowLimit), tryValues(_tryFlowLimit)
	edits := f.plan.edits(raised)[:1]
	edits[0].Before = &lower
	assert.NilError(t, f.accept(t.Context(), "after the outage", edits...))
	_, ok := f.awaitRevision(t.Context(), time.Minute)
	assert.Assert(t, ok)
	requestTest(t, before, 3)
}

// TestFlowsOutliveTheirService takes a service out of the settings under an
// open flow. The flow goes on; no new one is opened.
func TestFlowsOutliveTheirService(t *testing.T) {
	f := startFleet(t)
	caller := f.dialTest(t)
	requestTest(t, caller, 1)
	edit := f.plan.edits(tryValues(_tryFlowLimit))[1]
	edit.Before, edit.After = edit.After, nil
	assert.NilError(t, f.accept(t.Context(), "closed", edit))
	_, ok := f.awaitRevision(t.Context(), time.Minute)
	assert.Assert(t, ok)
	requestTest(t, caller, 2)
	s := f.plan.services[0]
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := standin.Dial(ctx, s.name, s.address, f.callerTLS())
	assert.Assert(t, err != nil, "a flow was opened to a service that was taken out")
	requestTest(t, caller, 3)
}

// TestRequestsPassThroughLoss loses one datagram in ten on the way to the balancers.
func TestRequestsPassThroughLoss(t *testing.T) {
	f := startFleet(t)
	f.fabric.SetLoss(0.1)
	caller := f.dialTest(t)
	for number := range uint64(10) {
		requestTest(t, caller, number)
	}
}

// TestAgentEndsWhenItsIncarnationIsUsedUp has the fleet hear of a later run at an
// agent's address after the agent serves, as after a clock that went back. Flows
// under the old incarnation would be ended by balancers, so the agent must end
// and a new run must serve.
func TestAgentEndsWhenItsIncarnationIsUsedUp(t *testing.T) {
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
		t.Fatal("the agent goes on under an incarnation that is used up")
	}
	assert.ErrorContains(t, old.Close(), "remembers a later one")
	f.agents = f.agents[1:]
	cert, err := f.authority.issue("orders")
	assert.NilError(t, err)
	node, err := newAgentNode(ctx, f.plan.hosts[0].config, f.parts, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13})
	assert.NilError(t, err)
	f.agents = append(f.agents, node)
	assert.Assert(t, node.announcer.Self().Incarnation > record.Incarnation)
	assert.NilError(t, f.awaitServing(ctx))
	for number := range uint64(4) {
		requestTest(t, f.dialTest(t), number)
	}
}
