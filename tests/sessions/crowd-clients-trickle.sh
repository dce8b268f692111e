# Bodies that come byte by byte.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd trickle 127.0.0.5 clients
