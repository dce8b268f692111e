# Complete requests of legal size.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd whole 127.0.0.5 clients
