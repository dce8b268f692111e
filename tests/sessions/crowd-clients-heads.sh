# Heads that do not end.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd heads 127.0.0.5 clients
