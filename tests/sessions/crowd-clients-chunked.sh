# The same, in chunks.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd chunked 127.0.0.5 clients
