#!/usr/bin/env bash
# Changes of a large configuration fill the memory of all gateways.
exec "$(dirname "$0")/../run-case.sh" config-history "$(dirname "$0")"
