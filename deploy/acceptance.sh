#!/usr/bin/env bash
# Plays the operators' fleet days seed after seed and prints a row a seed: gate, score, what failed.
#
#   deploy/acceptance.sh SITE PANEL SEEDS [WHY]
#
# SITE   a site file, such as ../given/kit/sites/agro-norte.toml
# PANEL  brink (twelve short days), quick (three large ones), all (six large ones)
# SEEDS  1-10, or 3,7,12; - leaves the seed to the bench
# WHY    one sentence for the journal
#
# Whole outputs are kept in target/acceptance/. A failed seed does not end the row of the others. Exit status: 0 every gate
# passed, 1 one failed or was not run, 2 the call can't be carried out. EMBERSHIFT_KIT names the kit where it lies elsewhere.
# EMBERSHIFT_BENCH_CPUS, such as 0,1,2,3, goes to the bench as its --cpus. What the bench wants beside a site file is laid by
# sites/lay.sh for the sites there.
set -u
wrong() { printf 'acceptance: %s\n' "$1" >&2; exit 2; }

[ $# -ge 3 ] && [ $# -le 4 ] || wrong "wanted: SITE PANEL SEEDS [WHY], such as ../given/kit/sites/agro-norte.toml brink 1-10"
site=$1 panel=$2 seeds=$3 why=${4:-"acceptance: $2 days, as main stands"}
cd "$(dirname "$0")/.." || exit 2
bench=${EMBERSHIFT_KIT:-../given/kit}/more/mass/bin/lbreal

case $panel in
  brink) call=(--panel brink) ;;
  quick) call=(--quick) ;;
  all) call=() ;;
  *) wrong "unknown panel '$panel': brink, quick or all" ;;
esac
list=()
if [ "$seeds" = - ]; then
  list=(-)
elif [[ $seeds =~ ^([0-9]{1,9})-([0-9]{1,9})$ ]]; then
  from=$((10#${BASH_REMATCH[1]})) to=$((10#${BASH_REMATCH[2]}))
  [ "$from" -le "$to" ] && [ $((to - from)) -lt 100 ] || wrong "seeds '$seeds': from the lower to the higher, 100 at most"
  for ((n = from; n <= to; n++)); do list+=("$n"); done
elif [[ $seeds =~ ^[0-9]{1,9}(,[0-9]{1,9})*$ ]]; then
  IFS=, read -r -a list <<<"$seeds"
else
  wrong "seeds '$seeds': 1-10, or 3,7,12, or -"
fi
[ -n "$why" ] && [ ${#why} -lt 100 ] || wrong "the sentence for the journal has ${#why} characters: 1 to 99 are taken"
[ -x "$bench" ] || wrong "no bench at $bench: the operators' kit is not here"
# A process can't undo that: nodes would never hear of a new configuration, and break drains that they were not told of.
ignored=$(sed -n 's/^SigIgn:[[:space:]]*//p' /proc/self/status 2>/dev/null)
[ $((0x0${ignored: -1} & 1)) -eq 0 ] || wrong "SIGHUP is ignored here, as under nohup: nodes would not hear of a new configuration"
[ -f "$site" ] || wrong "no site file at $site"
pinned=()
if [ -n "${EMBERSHIFT_BENCH_CPUS:-}" ]; then
  [[ $EMBERSHIFT_BENCH_CPUS =~ ^[0-9]{1,4}(,[0-9]{1,4})*$ ]] || wrong "EMBERSHIFT_BENCH_CPUS is '$EMBERSHIFT_BENCH_CPUS': wanted as 0,1,2,3"
  pinned=(--cpus "$EMBERSHIFT_BENCH_CPUS")
fi
# The bench looks for these beside the site file, and tells of real.json alone.
missing() {
  for file in real.json wire.json unlock.txt; do
    [ -f "$(dirname "$site")/$file" ] || { printf '%s' "$file"; return; }
  done
}
if [ -n "$(missing)" ] && [ "$(cd "$(dirname "$site")" && pwd -P)" = "$(cd deploy/sites && pwd -P)" ]; then
  deploy/sites/lay.sh || exit 2
fi
[ -z "$(missing)" ] || wrong "no $(missing) beside $site, where the bench looks for it"

kept=target/acceptance
mkdir -p "$kept" || exit 2
name=$(basename "$site" .toml)
failed=0
printf '| site | panel | seed | gate | score | what failed, or why it was not run | journal | s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n'
for seed in "${list[@]}"; do
  out=$kept/$name-$panel-$seed.txt
  begun=$SECONDS
  seeded=()
  [ "$seed" = - ] || seeded=(--seed "$seed")
  "$bench" score "$site" ${call[@]+"${call[@]}"} ${seeded[@]+"${seeded[@]}"} ${pinned[@]+"${pinned[@]}"} --why "$why, seed $seed" >"$out" 2>&1 </dev/null
  status=$?
  gate=$(sed -n 's/^GATE \([a-z]*\).*/\1/p' "$out" | tail -n 1)
  score=$(sed -n 's/^score of the real nodes \([0-9.]*\).*/\1/p' "$out" | tail -n 1)
  entry=$(sed -n 's/^snapshot //p' "$out" | tail -n 1)
  if [ -z "$gate" ]; then
    gate='not run'
    what="exit status $status: $(grep -v '^$' "$out" | tail -n 1)"
  else
    what=$(grep -E '^GATE failed|void|RULE|broke|crash' "$out" | sed 's/^GATE failed:* *//' | sort -u | paste -sd ';' -)
  fi
  [ "$gate" = passed ] || failed=1
  printf '| %s | %s | %s | %s | %s | %s | %s | %s |\n' "$name" "$panel" "$seed" "$gate" "${score:--}" "${what//|//}" "${entry:--}" "$((SECONDS - begun))"
done
exit $failed
