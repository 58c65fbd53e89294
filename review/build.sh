#!/bin/sh
# Builds the stand-ins of the cases; the project itself is built as DEVELOPERS.md says.
cd "$(dirname "$0")" && mkdir -p target && javac -d target stand/*.java
