#!/usr/bin/env bash
# The stand-ins are Python and use only the packages of the deploy file's build: this
# checks that they, and the project's own ones that the scripts start, can be loaded.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD/review:$PWD" PYTHONDONTWRITEBYTECODE=1
exec python3 -c "import standins"
