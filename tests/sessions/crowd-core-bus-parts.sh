# Frames of the bus of a message that does not end.
. tests/platform/crowd.sh
start_small_fleet
meet_crowd parts 127.0.0.1 bus
