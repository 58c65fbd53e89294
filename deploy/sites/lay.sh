#!/usr/bin/env bash
# Lays links to the kit's real.json, wire.json and unlock.txt beside the site files here, where the bench looks for them. They
# are the operators' and stay out of the repository. EMBERSHIFT_KIT names the kit where it lies elsewhere than beside the tree.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
kit=${EMBERSHIFT_KIT:-$here/../../../given/kit}/more/mass/other
for file in real.json wire.json unlock.txt; do
  [ -f "$kit/$file" ] || { printf 'lay: no %s: the kit is not here\n' "$kit/$file" >&2; exit 2; }
done
for file in real.json wire.json unlock.txt; do
  ln -sf "$(cd "$kit" && pwd)/$file" "$here/$file" || exit 2
done
