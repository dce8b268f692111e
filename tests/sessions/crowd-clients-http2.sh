# Streams of HTTP/2.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd http2 127.0.0.5 clients
