package limit_test

import (
	"fmt"

	"dandelionhitch.example/limit"
)

// Units are parts of a limit, so they are worth more flows when it is raised.
func ExampleUnits() {
	units := limit.UnitsFor(25, 100)
	fmt.Println(units.Flows(100), units.Flows(1000), units.Flows(10))
	// Output: 25 250 2
}
