#!/usr/bin/env bash
# Runs every scenario file of a directory against a site file with the benchmark tool BENCH, and
# lists the runs that failed or violated a rule. WHY is recorded with each run.
# usage: tools/play.sh BENCH SITE DIR WHY
set -u
bench=$1 site=$2 dir=$3 why=$4
broken=0 played=0
for file in "$dir"/*.toml; do
	out=${file%.toml}.$(basename "$site" .toml).txt
	"$bench" run "$site" "$file" --why "$why: $(basename "$file" .toml)" >"$out" 2>&1
	played=$((played + 1))
	if grep -q 'BROKEN\|fault:\|FAULT' "$out" || ! grep -q '^worth' "$out"; then
		broken=$((broken + 1))
		echo "$out: $(grep -m1 -o 'BROKEN.*' "$out" || grep -m1 -i 'fault\|error\|refused\|invalid' "$out")"
	fi
done
echo "$played days played, $broken with a rule broken"
