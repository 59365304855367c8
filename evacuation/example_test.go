package evacuation_test

import (
	"fmt"

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
