#!/bin/sh
# Builds the stand-ins that the scripts of the second review start; runs after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
npm run build --silent
