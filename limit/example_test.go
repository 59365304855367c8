package limit_test

import (
	"fmt"

	"dandelionhitch.example/limit"
)

// Units are parts of a limit, so the same units are worth more flows when the
// limit is raised.
func ExampleUnits() {
	units := limit.UnitsFor(25, 100)
	fmt.Println(units.Flows(100), units.Flows(1000), units.Flows(10))
	// Output: 25 250 2
}
