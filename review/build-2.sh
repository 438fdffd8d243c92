#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. The program under
# test is built by the deploy file's own command.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2 ./review/standin2
