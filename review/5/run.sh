#!/usr/bin/env bash
# Plays the case. With TROUBLE=0 it leaves the disruption out.
exec node "$(dirname "$0")/play.mjs"
