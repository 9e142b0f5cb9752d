package main

import (
	"slices"
	"time"
)

func sortTimes(list []time.Time) { slices.SortFunc(list, time.Time.Compare) }
