// Package slopes measures how the cost of links, configuration and escrow grows
// with the size of a deployment.
package slopes

import (
	"fmt"
	"runtime"
	"strings"
)

// Series holds one measured quantity at several sizes.
type Series struct {
	Name   string
	Unit   string
	Sizes  []int
	Values []float64
}

// Slope returns the least-squares increase per unit of size.
func (se Series) Slope() float64 {
	var sx, sy, sxx, sxy float64
	for ix, size := range se.Sizes {
		vx, vy := float64(size), se.Values[ix]
		sx, sy, sxx, sxy = sx+vx, sy+vy, sxx+vx*vx, sxy+vx*vy
	}
	cnt := float64(len(se.Sizes))
	return (cnt*sxy - sx*sy) / (cnt*sxx - sx*sx)
}

// Predict returns the value that the least-squares line has at the size.
func (se Series) Predict(size int) float64 {
	var sx, sy float64
	for ix, sz := range se.Sizes {
		sx, sy = sx+float64(sz), sy+se.Values[ix]
	}
	cnt := float64(len(se.Sizes))
	return sy/cnt + se.Slope()*(float64(size)-sx/cnt)
}

// Render returns the series as a Markdown table.
func Render(series []Series) string {
	var sb strings.Builder
	sb.WriteString("| quantity | unit | sizes | values | per unit of size |\n|---|---|---|---|---|\n")
	for _, se := range series {
		sizes, vals := make([]string, len(se.Sizes)), make([]string, len(se.Sizes))
		for ix := range se.Sizes {
			sizes[ix], vals[ix] = fmt.Sprint(se.Sizes[ix]), fmt.Sprintf("%.4g", se.Values[ix])
		}
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %.4g |\n", se.Name, se.Unit,
			strings.Join(sizes, ", "), strings.Join(vals, ", "), se.Slope())
	}
	return sb.String()
}

// memoryInUse returns the bytes in use by heap objects and stacks after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc + ms.StackInuse)
}
