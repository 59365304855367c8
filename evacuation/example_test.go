package evacuation_test

import (
	"fmt"
	"time"

	"dandelionhitch.example/evacuation"
)

// A process that gets sets out of order keeps the one of the highest version.
func ExampleSet_Newer() {
	evacuated, _ := evacuation.New(7, []string{"oslo-b", "oslo-a"})
	takenBack, _ := evacuation.New(9, []string{"oslo-a"})
	fmt.Println(evacuated, takenBack, takenBack.Newer(evacuated), evacuated.Newer(takenBack))
	fmt.Println(evacuation.Set{}, evacuation.Set{}.Contains("oslo-a"), takenBack.Contains("oslo-a"))
	// Output:
	// oslo-a,oslo-b oslo-a true false
	// none false true
}

// A zone stays evacuated for a while if its entry is missing after the store was restored
// from a copy, which begins an epoch in the high bits of the version.
func ExampleState_With() {
	evacuated, _ := evacuation.New(7, []string{"oslo-a"})
	restored, _ := evacuation.New(1<<48|5, nil)
	repeated, _ := evacuation.New(1<<48|6, []string{"oslo-a"})
	takenBack, _ := evacuation.New(1<<48|7, nil)

	state := evacuation.State{}.With(0, evacuated).With(time.Second, restored)
	fmt.Println(state.Set(), state, state.At(11*time.Second))
	fmt.Println(state.With(2*time.Second, repeated).With(3*time.Second, takenBack))
	// Output:
	// none oslo-a none
	// none
}
