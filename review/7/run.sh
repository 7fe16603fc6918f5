#!/bin/sh
exec sh "$(dirname "$0")/../run-2.sh" 7 RefusalAfterALostMachine
