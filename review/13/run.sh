#!/usr/bin/env bash
exec bash "$(dirname "$0")/../harness-3/run-case.sh" 13
