package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dandelionhitch.example/flow"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/standin"
)

// Times of a drill.
const (
	// _drillDuration is how long a drill takes. A run with a shorter FaultDuration has none.
	_drillDuration = 12 * time.Second
	// _storeCallTimeout bounds a call of the operator to the store.
	_storeCallTimeout = time.Second
	// _evacuationBound is how long after the evacuation of a zone its upstreams may get new
	// flows.
	_evacuationBound = 5 * time.Second
)

// drill is the state of a drill in which the store is restored from an older copy.
type drill struct {
	// active is set from the copy to the end of the evacuation, during which the store has no
	// other faults.
	active bool
	copied standin.PlatformCopy
	// zone is evacuated since evacuatedAt, or not at all if that is zero.
	zone        string
	evacuatedAt time.Duration
}

// drawDrill returns the events of a drill: after the store was copied, the configuration is
// changed and a zone is evacuated and taken back, so that the store loses revisions when it
// is restored. Then the zone is evacuated again. A separate random generator leaves the
// other faults as they are.
func (r *run) drawDrill(begin, end time.Duration) []event {
	if end-begin < _drillDuration {
		return nil
	}
	random := rand.New(rand.NewPCG(r.config.Seed, 3))
	at := begin + time.Duration(random.Int64N(int64(end-begin-_drillDuration)+1))
	r.drill.zone = _zones[random.IntN(len(_zones))]
	return []event{
		{at, "copy the store", r.copyStore},
		{at + 200*time.Millisecond, "change the configuration", r.switchRoute},
		{at + 500*time.Millisecond, "evacuate zone " + r.drill.zone, r.evacuate},
		{at + 1500*time.Millisecond, "take the zone back", r.takeBack},
		{at + 2500*time.Millisecond, "the store is away", func() { r.store.SetFaults(standin.PlatformFaults{Outage: true}) }},
		{at + 3*time.Second, "restore the store from the copy", r.restoreStore},
		{at + 3300*time.Millisecond, "evacuate zone " + r.drill.zone, r.evacuate},
		{at + _drillDuration, "take the zone back", func() { r.takeBack(); r.drill.active = false }},
	}
}

// setStoreFaults injects faults into the store, except during a drill.
func (r *run) setStoreFaults(faults standin.PlatformFaults) {
	if !r.drill.active {
		r.store.SetFaults(faults)
	}
}

func (r *run) copyStore() {
	r.drill.active = true
	r.store.SetFaults(standin.PlatformFaults{})
	r.drill.copied = r.store.Copy()
}

// restoreStore restores the store from the copy, and writes the last configuration again.
func (r *run) restoreStore() {
	r.store.Restore(r.drill.copied)
	r.store.SetFaults(standin.PlatformFaults{})
	ctx, cancel := context.WithTimeout(context.Background(), _storeCallTimeout)
	defer cancel()
	current, err := r.objects.Get(ctx, platform.ConfigurationKey)
	if err == nil {
		r.objectVersion = current.Version
		err = r.writeConfiguration(r.switchedService)
	}
	r.noteError("configuration", err)
}

func (r *run) evacuate() {
	ctx, cancel := context.WithTimeout(context.Background(), _storeCallTimeout)
	defer cancel()
	_, err := r.objects.Put(ctx, r.evacuationKey(), []byte("{}"), 0)
	r.noteError("evacuation", err)
	if err == nil {
		r.drill.evacuatedAt = r.now()
	}
}

func (r *run) takeBack() {
	ctx, cancel := context.WithTimeout(context.Background(), _storeCallTimeout)
	defer cancel()
	r.drill.evacuatedAt = 0
	entry, err := r.objects.Get(ctx, r.evacuationKey())
	if err == nil {
		err = r.objects.Delete(ctx, entry.Key, entry.Version)
	}
	r.noteError("evacuation", err)
}

func (r *run) evacuationKey() string { return platform.EvacuationsKind + "/" + r.drill.zone }

// noteError records that a call of the operator has failed.
func (r *run) noteError(call string, err error) {
	if err != nil {
		r.faults = append(r.faults, fmt.Sprintf("          %s not written: %v", call, err))
	}
}

// checkEvacuation checks a flow that is opened at the VM's upstream.
func (v *vm) checkEvacuation(key flow.Key) {
	d := &v.run.drill
	late := d.evacuatedAt > 0 && v.zone == d.zone && v.run.now() > d.evacuatedAt+_evacuationBound
	v.run.check(_noFlowEvacuated, !late, "flow %v was opened in zone %s, which is evacuated since %v", key, v.zone, d.evacuatedAt)
}
