#!/bin/bash
# The measurements of docs/emulator.md: ./emulator/measure.sh [SEEDS], from the root, after a build. Takes some minutes on 8 cores.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-10}
jar="java -jar emulator/target/embershift-emulator.jar"
echo "== speed and memory: 60 simulated seconds of the calm day, one core"
for size in 3x12 30x60 400x120; do
    for load in 0.3 0.6; do
        echo "$size at load $load: $($jar run emulator/days/calm.toml --size $size --set traffic.load=$load 2>&1 >/dev/null | tail -1)"
    done
done
echo "== all days, $seeds seeds"
for size in 3x12 30x60 400x120; do
    # The far larger fleet by half as many seeds, and without the baselines that probe every host from every node.
    with=random,round-robin,least,p2c,paper,top
    many=$seeds
    if [ $size = 400x120 ]; then
        with=random,p2c,top
        many=$(((seeds + 1) / 2))
    fi
    for day in calm overload zone-lost rolling-restart roster-away store-slow cold-fleet reconnect-wave all-at-once; do
        echo "-- $day $size"
        $jar compare emulator/days/$day.toml --size $size --seeds $many --with $with 2>/dev/null
    done
done
echo "== virtual time against sockets, nodes in processes of their own"
for day in calm zone-lost reconnect-wave; do
    echo "-- $day"
    $jar run emulator/days/$day.toml --sockets forked || true
done
