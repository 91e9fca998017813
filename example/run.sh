#!/bin/sh
# Builds brassbank and runs it on loopback: two stub stream hosts, a stub discovery service, one
# proxy, and a client that sends the lines typed here. Exits at the end of the input (Ctrl-D) and
# stops the processes that it has started.
cd "$(dirname "$0")/.." || exit 1
# Keeps the build from reading the input that is meant for the client.
mvn -q -DskipTests package </dev/null || exit 1
java example/Toy.java &
toy=$!
LB_CONFIG=example/config.json sh deploy/serve.sh &
proxy=$!
# The proxy is stopped first and drains, as it does on the platform; the stubs need no drain.
trap 'kill $proxy; wait $proxy; kill $toy; wait $toy' EXIT
trap 'exit 1' INT TERM
java example/Client.java
