#!/bin/sh
# The claim stands in claim.txt. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without its disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../stubs-2/run-case" "$here" a_late_second_answer
