#!/bin/sh
# Builds what the cases 6 to 10 start beside the node of the deploy file: the instances and the node's
# agent, and the stand-ins of the review.
set -e
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -pl door,hosted -am package
mkdir -p review/stand-2/target/classes
javac -Xlint:all -d review/stand-2/target/classes review/stand-2/*.java
